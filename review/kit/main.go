// Command kit runs the cases of the review: kit CASE FOLDER. It starts the machines as processes of their own, and plays the
// store, the servers and the clients. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// verdict is the result of a case.
type verdict struct {
	broken  bool
	summary string
}

// scenario plays a case, with or without its disruption.
type scenario func(d *deployment, trouble bool) (verdict, error)

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	d, err := newDeployment(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.close()
	trouble := os.Getenv("TROUBLE") != "0"
	d.record("case=%s trouble=%t", name, trouble)
	watchdog := time.AfterFunc(115*time.Second, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		d.close()
		os.Exit(2)
	})
	defer watchdog.Stop()
	v, err := scenarios[name](d, trouble)
	if logs := os.Getenv("KEEP_LOGS"); logs != "" {
		d.keepLogs(logs)
	}
	if err == nil {
		d.mu.Lock()
		err = d.problem
		d.mu.Unlock()
	}
	if err != nil {
		d.record("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	d.record("broken=%t %s", v.broken, v.summary)
	fmt.Printf("broken=%t %s\n", v.broken, v.summary)
	if v.broken {
		return 1
	}
	return 0
}
