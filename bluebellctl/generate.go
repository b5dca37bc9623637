package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"bluebellhaven.org/bluebell/bluebellconfig"
)

// configurationFile is the name of the generated file that all VMs share; each VM has its
// settings in a file vm-NAME.jsonc.
const configurationFile = "configuration.jsonc"

// generateCommand writes the generated files to a folder.
type generateCommand struct {
	Answers string `arg:"positional,required" help:"questionnaire in JSON with comments"`
	Folder  string `arg:"positional,required" help:"folder for the generated files"`
}

// generatedFile is the name and the content of a generated file.
type generatedFile struct {
	name string
	text []byte
}

// generateFiles returns the configuration and the settings of each VM, generated from the
// questionnaire in the file answers.
func generateFiles(answers string) ([]generatedFile, error) {
	q, err := bluebellconfig.LoadQuestionnaire(answers)
	if err != nil {
		return nil, err
	}
	c := bluebellconfig.Generate(q)
	messages := []proto.Message{c}
	names := []string{configurationFile}
	for _, s := range bluebellconfig.ProcessSettings(q, c) {
		messages = append(messages, s)
		names = append(names, "vm-"+s.VM.Name+".jsonc")
	}
	var files []generatedFile
	for i, m := range messages {
		text, err := bluebellconfig.Format(m)
		if err != nil {
			return nil, err
		}
		files = append(files, generatedFile{names[i], text})
	}
	return files, nil
}

func (g *generateCommand) run() error {
	files, err := generateFiles(g.Answers)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(g.Folder, 0o755); err != nil {
		return err
	}
	for _, f := range files {
		if err := os.WriteFile(filepath.Join(g.Folder, f.name), f.text, 0o644); err != nil {
			return err
		}
	}
	fmt.Printf("%d files in %s\n", len(files), g.Folder)
	return nil
}

// checkCommand validates a questionnaire. With a folder, it also verifies that the folder has
// the files that the questionnaire generates.
type checkCommand struct {
	Answers string `arg:"positional,required" help:"questionnaire in JSON with comments"`
	Folder  string `arg:"positional" help:"folder whose files must be what the answers generate"`
}

func (c *checkCommand) run() error {
	files, err := generateFiles(c.Answers)
	if err != nil {
		return err
	}
	var stale []error
	for _, f := range files {
		if c.Folder == "" {
			break
		}
		path := filepath.Join(c.Folder, f.name)
		text, err := os.ReadFile(path)
		switch {
		case err != nil:
			stale = append(stale, err)
		case !bytes.Equal(text, f.text):
			stale = append(stale, fmt.Errorf("%s is not what %s generates", path, c.Answers))
		}
	}
	if len(stale) > 0 {
		return &exitError{exitFindings, errors.Join(stale...)}
	}
	fmt.Printf("%s has no findings\n", c.Answers)
	return nil
}

// keyHashCommand prints the hex SHA-256 hash of a key.
type keyHashCommand struct {
	Key string `arg:"positional,required" help:"key of a customer or operator"`
}

func (k *keyHashCommand) run() error {
	sum := sha256.Sum256([]byte(k.Key))
	fmt.Println(hex.EncodeToString(sum[:]))
	return nil
}
