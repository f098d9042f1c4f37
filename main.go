// Command banyanscale is a load balancer whose nodes each run beside one
// upstream. Run "banyanscale help" for its commands.
package main

import (
	"os"

	"github.com/banyanscale/banyanscale/internal/cmd"
)

func main() {
	os.Exit(cmd.Run(os.Args[1:], os.Stdout, os.Stderr))
}
