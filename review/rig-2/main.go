// Command rig-2 plays the cases of the second review that are scripts: it starts the hosts of a small deployment as processes on
// loopback addresses, with stand-ins for the store, the workers, the network and the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	noCheck = 2 // the case could not run
)

func main() {
	cases := map[string]func(log *record, trouble bool) (int, error){"born": born, "drain": drain, "oneway": oneWay, "restart": restart, "restartquota": restartQuota, "recover": recovery, "refusal": refusal, "upload": upload}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: rig-2 CASE RECORD")
		os.Exit(noCheck)
	}
	log, err := newRecord(os.Args[2])
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(noCheck)
	}
	code, err := cases[os.Args[1]](log, os.Getenv("TROUBLE") != "0")
	if err != nil {
		log.line("the case could not run: %v", err)
		_, _ = fmt.Fprintln(os.Stderr, "the case could not run:", err)
		code = noCheck
	}
	log.close()
	os.Exit(code)
}
