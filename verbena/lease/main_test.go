package lease_test

import (
	"testing"

	"verbenaledge.example/verbena/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, 7, 2000) }
