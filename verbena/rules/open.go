package rules

import "verbenaledge.example/verbena/ids"

// Open lets anybody use a service without a key, within one limit for all of them.
type Open struct {
	Service ids.ServiceName
	Limit   Limit
	AskedBy string
}
