// Package spectest generates applied files for the tests and benchmarks of other packages.
package spectest

import (
	"bytes"
	"fmt"
)

// LargeFile returns an applied file with the given numbers of models and adapters; the
// adapters are spread evenly over the models. models must be positive if adapters is.
func LargeFile(models, adapters int, version uint64) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "name = \"large\"\nversion = %d\n", version)
	for i := range models {
		fmt.Fprintf(&b, "[[models]]\nname = \"model-%04d\"\nversion = \"1\"\nreplicas = 4\nmemory_mib = 4096\nidle_after = \"5m\"\n", i)
	}
	for i := range adapters {
		fmt.Fprintf(&b, "[[adapters]]\nname = \"adapter-%05d\"\nmodel = \"model-%04d\"\nversion = \"1\"\nmemory_mib = 64\n", i, i%models)
	}
	return b.Bytes()
}
