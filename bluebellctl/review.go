package main

import (
	"fmt"
	"os"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebellreview"
	"bluebellhaven.org/platform/bluebellplatform"
)

// reviewCommand checks the declaration of a discovered deployment before it is sent. It needs no
// running process.
type reviewCommand struct {
	File    string `arg:"positional,required" help:"declaration to be sent"`
	InForce string `arg:"--in-force" placeholder:"FILE" help:"declaration in force, to show what differs from it"`
}

func (c *reviewCommand) run() error {
	next, err := readDeclaration(c.File)
	if err != nil {
		return err
	}
	var inForce bluebelldeployment.Declaration
	if c.InForce != "" {
		if inForce, err = readDeclaration(c.InForce); err != nil {
			return err
		}
	}
	errorCount := 0
	for _, f := range bluebellreview.Review(next) {
		fmt.Println(f)
		if f.Severity == bluebellreview.Error {
			errorCount++
		}
	}
	if c.InForce != "" {
		for _, d := range bluebellreview.Differences(inForce, next) {
			fmt.Println(d)
		}
	}
	if errorCount > 0 {
		return exitWith(exitFailed, "%s: the system refuses the declaration; errors: %d", c.File, errorCount)
	}
	return nil
}

// readDeclaration reads a declaration that may have errors.
func readDeclaration(file string) (bluebelldeployment.Declaration, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return bluebelldeployment.Declaration{}, err
	}
	d, err := bluebellplatform.DecodeUnvalidatedDeclaration(body)
	if err != nil {
		return bluebelldeployment.Declaration{}, fmt.Errorf("%s: %w", file, err)
	}
	return d, nil
}
