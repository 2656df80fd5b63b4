// Command wigeon-demo runs an entry, agents and stand-ins in one process. It
// streams an answer, kills the engine midway and checks that the answer is still
// complete. It exits with 0 only if every token matched.
package main

import (
	"fmt"
	"os"

	"github.com/wigeonfork/wigeonfork/demo"
)

func main() {
	if err := demo.Run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}
