package rules

import "verbenaledge.example/verbena/ids"

// Open lets anybody use a service without a key, within one limit that all such callers share.
type Open struct {
	Service ids.ServiceName
	Limit   Limit
	AskedBy string
}
