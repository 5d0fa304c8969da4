package main

import (
	"fmt"
	"io"
	"os"

	"github.com/acacialift/acacialift/platform"
)

// checkConfiguration checks the operators' configuration document in a file, prints all findings and reports whether there is no error.
// It compares the document with the one in the file inForce unless that is empty.
func checkConfiguration(out io.Writer, file, inForce string) (bool, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return false, err
	}
	var before []byte
	if inForce != "" {
		if before, err = os.ReadFile(inForce); err != nil {
			return false, err
		}
	}
	report, err := platform.CheckConfiguration(text, before)
	if err != nil {
		fmt.Fprintf(out, "%s: error: %v\n", file, err)
		return false, nil
	}
	for _, line := range report.Lines {
		fmt.Fprintf(out, "%s: %s\n", file, line)
	}
	fmt.Fprintf(out, "%s: %d errors, %d warnings, %d differences\n", file, report.Errors, report.Warnings, report.Differences)
	return report.Errors == 0, nil
}
