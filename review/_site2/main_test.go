// Package site2 is a program that plays one case of the second review: it emulates the platform, its servers
// and its clients around entries and agents that the case's run.sh starts as separate processes, judges what
// clients and servers have seen, and writes it to the case's record.
package site2

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Networks that the emulated sites use, and how long the processes have to become ready.
const (
	firstNetwork = 140
	networkCount = 60
	readyTimeout = 25 * time.Second
)

// scenario is one case. It returns whether the rule was broken; an error means that the case could not run.
type scenario struct {
	options site.Options
	play    func(c *play) (broken bool, err error)
}

var scenarios = map[string]scenario{}

// play is one run of a case.
type play struct {
	site    *site.Site
	record  *record
	trouble bool
	// directory holds the settings and process IDs of the processes.
	directory string
}

// TestMain is the program: the platform's names may stand in test files only, beside the project's emulator.
func TestMain(*testing.M) {
	name := flag.String("scenario", "", "name of the case")
	directory := flag.String("directory", "", "folder for settings and process IDs")
	path := flag.String("record", "", "file that the record is written to")
	flag.Parse()
	os.Exit(run(*name, *directory, *path, os.Getenv("TROUBLE") != "0"))
}

func run(name, directory, path string, trouble bool) int {
	chosen, known := scenarios[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	written, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer written.close()
	broken, err := start(chosen, directory, written, trouble)
	switch {
	case err != nil:
		written.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		written.line("verdict: the rule was broken")
		return exitBroken
	}
	written.line("verdict: the rule held")
	return exitHeld
}

// start starts the emulated site, has the processes started, and plays the case.
func start(chosen scenario, directory string, written *record, trouble bool) (bool, error) {
	options := chosen.options
	options.Network = site.FreeNetwork(firstNetwork, networkCount, os.Getpid())
	running, err := site.Start(options)
	if err != nil {
		return false, err
	}
	defer running.Close()
	written.line("trouble: %t", trouble)
	c := &play{site: running, record: written, trouble: trouble, directory: directory}
	if err := c.writeProcesses(); err != nil {
		return false, err
	}
	if err := c.waitReady(); err != nil {
		return false, err
	}
	written.line("all entries are ready")
	return chosen.play(c)
}

// writeProcesses writes the settings of all processes and the list of them that run.sh starts.
func (c *play) writeProcesses() error {
	var list strings.Builder
	for zone := range c.site.Options.Zones {
		for _, group := range []struct {
			role  string
			count int
		}{{site.RoleEntry, c.site.Options.Entries}, {site.RoleAgent, c.site.Options.ModelServers}} {
			for index := range group.count {
				if err := c.site.OpenStore(group.role, zone, index); err != nil {
					return err
				}
				name := processName(group.role, zone, index)
				if err := os.WriteFile(filepath.Join(c.directory, name+".json"), c.site.Settings(group.role, zone, index), 0o600); err != nil {
					return err
				}
				fmt.Fprintln(&list, group.role, name)
			}
		}
	}
	// The list is renamed into place, so that run.sh reads all of it.
	partial := filepath.Join(c.directory, "processes.partial")
	if err := os.WriteFile(partial, []byte(list.String()), 0o600); err != nil {
		return err
	}
	return os.Rename(partial, filepath.Join(c.directory, "processes"))
}

func processName(role string, zone, index int) string {
	return fmt.Sprintf("%s-%d-%d", role, zone, index)
}

// waitReady waits until each entry says that it is ready.
func (c *play) waitReady() error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(readyTimeout)
	for zone := range c.site.Options.Zones {
		for index := range c.site.Options.Entries {
			for !isReady(client, c.site.ReadyURL(zone, index)) {
				if time.Now().After(deadline) {
					return fmt.Errorf("entry %d-%d is not ready after %s", zone, index, readyTimeout)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	return nil
}

func isReady(client *http.Client, url string) bool {
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
