package sitetest

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/silencer"
)

// measurePausesVariable switches the measurement of pauses on.
const measurePausesVariable = "PINEVANE_MEASURE_PAUSES"

// logFlushTime is the time after which the processes have written their log lines.
const logFlushTime = 300 * time.Millisecond

// forGood stands for connections that stay silent while new ones work.
const forGood = time.Duration(0)

// Measures what silent servers cost the requests that are open there: how streams and calls end, and
// what is sent and run in vain. Silent for good are the connections, otherwise the servers.
func TestMeasurePauses(t *testing.T) {
	if os.Getenv(measurePausesVariable) == "" {
		t.Skip(measurePausesVariable + " is not set")
	}
	fmt.Println("| silent | others | for | streams whole, cut, refused | longest pause | first events after 2 s | calls whole, unknown, refused | once whole, unknown, refused | runs in vain | sent again | silences found |")
	for _, silent := range []string{"one", "a zone's", "all"} {
		for _, others := range []string{"free", "full", "refusing"} {
			if silent == "all" && others != "free" {
				continue
			}
			for _, duration := range []time.Duration{400 * time.Millisecond, 700 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second, forGood} {
				t.Run(fmt.Sprint(silent, others, duration), func(t *testing.T) { measurePause(t, silent, others, duration) })
			}
		}
	}
}

// affects reports whether a server is among the silent ones.
func affects(options site.Options, silent, ip string) bool {
	switch silent {
	case "one":
		return ip == options.ModelIP(0, 0) || ip == options.PlainIP(0, 0)
	case "all":
		return true
	}
	for index := range options.ModelServers {
		if ip == options.ModelIP(0, index) {
			return true
		}
	}
	return ip == options.PlainIP(0, 0)
}

func measurePause(t *testing.T, silent, others string, duration time.Duration) {
	f := startPausableFleet(t)
	options := f.Site.Options
	everyServer := map[string]*site.Server{}
	for ip, server := range f.Site.Models {
		everyServer[ip] = server
	}
	for ip, server := range f.Site.Plain {
		everyServer[ip] = server
	}
	var calls, once []outcome
	var mutex sync.Mutex
	var running sync.WaitGroup
	call := func(prefix string, list *[]outcome, number int) {
		running.Go(func() {
			id := fmt.Sprint(strings.Trim(prefix, "/"), "-", number)
			answer, err := f.Call(context.Background(), number%2, number/2%2, http.MethodPost, prefix+"x", id, map[string]string{"Deadline-Ms": "3500"}, "b")
			mutex.Lock()
			defer mutex.Unlock()
			*list = append(*list, outcome{id: id, answer: answer, err: err})
		})
	}
	late := make([]outcome, 8)
	streams := runStreams(f, pausedStreams, func() {
		for ip, server := range everyServer {
			isSilent := affects(options, silent, ip)
			switch {
			case isSilent && duration != forGood:
				server.Pause(duration)
			case !isSilent && others == "full":
				server.HoldQueue(true)
				time.AfterFunc(1500*time.Millisecond, func() { server.HoldQueue(false) })
			case !isSilent && others == "refusing":
				server.SetFaults(site.Faults{Shed: 1000})
				time.AfterFunc(1500*time.Millisecond, func() { server.SetFaults(site.Faults{}) })
			}
		}
		if duration == forGood {
			toSilent := func(address netip.AddrPort) bool {
				return address.Port() == 8001 && affects(options, silent, address.Addr().String())
			}
			if _, err := silencer.Silence(silencer.Between(toSilent, func(netip.AddrPort) bool { return true })); err != nil {
				t.Error(err)
			}
		}
		for number := range 20 {
			call(site.SafePrefix, &calls, number)
			call(site.OncePrefix, &once, number)
		}
		for number := range late {
			running.Go(func() {
				began := time.Now()
				answer, err := f.Stream(context.Background(), number%2, number/2%2, fmt.Sprint("late-", number), 5)
				late[number] = outcome{duration: time.Since(began), answer: answer, err: err}
			})
		}
	})
	running.Wait()
	lateCount := 0
	for _, result := range late {
		if !result.served(2 * time.Second) {
			lateCount++
		}
	}
	time.Sleep(logFlushTime)
	log := f.Log.String()
	sent := strings.Count(log, `"PV4101"`)
	requests := len(streams) + len(calls) + len(once) + len(late) + warmUpStreams
	runs := map[string]int{}
	inVain := 0
	for _, run := range f.Site.Requests.Runs() {
		runs[run.RequestID]++
		if runs[run.RequestID] > 1 {
			inVain++
		}
	}
	longest := time.Duration(0)
	for _, line := range strings.Split(log, "\n") {
		if at := strings.Index(line, `"longest_pause":`); at >= 0 {
			seconds := 0.0
			_, _ = fmt.Sscanf(line[at+len(`"longest_pause":`):], "%g", &seconds)
			longest = max(longest, time.Duration(seconds*float64(time.Second)))
		}
	}
	label := duration.String()
	if duration == forGood {
		label = "good"
	}
	fmt.Printf("| %s | %s | %s | %s | %.2f s | %d of %d | %s | %s | %d | %d | %d |\n", silent, others, label, endings(streams), longest.Seconds(), lateCount, len(late),
		endings(calls), endings(once), inVain, max(0, sent-requests), strings.Count(log, `"PV4208"`))
}

// endings counts requests by their ending: whole, cut or unknown, refused as not run.
func endings(outcomes []outcome) string {
	whole, cut, refused := 0, 0, 0
	for _, result := range outcomes {
		switch {
		case result.err == nil && result.answer.Status == http.StatusOK && result.answer.Complete:
			whole++
		case result.err == nil && result.answer.Status == http.StatusServiceUnavailable:
			refused++
		default:
			cut++
		}
	}
	return fmt.Sprintf("%d, %d, %d", whole, cut, refused)
}
