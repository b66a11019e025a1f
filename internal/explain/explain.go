// Package explain joins the log lines of many processes into the story of one
// request: what was decided on it, with which inputs, and what the processes
// believed at that time that bears on it.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"pinevane.example/pinevane/internal/fault"
)

// Line is one log line.
type Line struct {
	Time    time.Time
	Process string
	Event   string
	Message string
	Fields  map[string]any
}

// maximumLineBytes bounds a log line.
const maximumLineBytes = 1 << 20

// Read reads the JSON lines of a log. What stands before the brace of a line, as
// log collectors write it, is passed over; lines that hold no event are skipped.
func Read(source io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(make([]byte, 0, 64<<10), maximumLineBytes)
	var lines []Line
	for scanner.Scan() {
		if line, readable := parse(scanner.Bytes()); readable {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return lines, &fault.Unavailable{Target: "log", Operation: "read", Cause: err}
	}
	return lines, nil
}

func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(text[start:], &fields) != nil {
		return Line{}, false
	}
	line := Line{Fields: fields, Process: take(fields, "process"), Event: take(fields, "event"), Message: take(fields, "msg")}
	at, err := time.Parse(time.RFC3339Nano, take(fields, "ts"))
	delete(fields, "level")
	line.Time = at
	return line, err == nil && line.Event != ""
}

func take(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	delete(fields, name)
	return text
}

func (l Line) text(name string) string {
	value, present := l.Fields[name]
	if !present {
		return ""
	}
	if text, isText := value.(string); isText {
		return text
	}
	data, err := json.Marshal(value)
	if err != nil {
		return ""
	}
	return string(data)
}

func (l Line) number(name string) float64 {
	value, _ := l.Fields[name].(float64)
	return value
}

// String renders the line for people.
func (l Line) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s  %-20s %s  %s", l.Time.Format("15:04:05.000"), l.Process, l.Event, l.Message)
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if value := l.text(name); value != "" {
			fmt.Fprintf(&text, "  %s=%s", name, value)
		}
	}
	return text.String()
}

// Explanation is what the logs tell of one request.
type Explanation struct {
	RequestID string
	// Lines are the request's own, and those that bear on it, in order of time.
	Lines []Line
	// Cause says in a sentence what decided the request's end.
	Cause string
}

// How long before and after a request what the processes believed is told.
const (
	before = 12 * time.Second
	after  = time.Second
)

// Explain joins the lines of all processes into the story of a request. An unknown
// request gives a story without lines.
func Explain(lines []Line, requestID string) Explanation {
	story := Explanation{RequestID: requestID}
	var own []Line
	servers, processes := map[string]bool{}, map[string]bool{}
	for _, line := range lines {
		if line.text("request") != requestID {
			continue
		}
		own = append(own, line)
		processes[line.Process] = true
		if server := line.text("server"); server != "" {
			servers[server] = true
		}
	}
	if len(own) == 0 {
		story.Cause = "no line names the request; it reached no process whose log is given, or its connection was refused"
		return story
	}
	sortByTime(own)
	from, until := own[0].Time.Add(-before), own[len(own)-1].Time.Add(after)
	for _, line := range lines {
		if line.text("request") == "" && !line.Time.Before(from) && !line.Time.After(until) && bears(line, servers, processes) {
			story.Lines = append(story.Lines, line)
		}
	}
	story.Lines = addEvacuations(story.Lines, lines, processes, own[0].Time)
	story.Lines = addContent(story.Lines, lines, own)
	story.Lines = append(story.Lines, own...)
	sortByTime(story.Lines)
	story.Cause = cause(own, story.Lines)
	return story
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
}

// bears reports whether what a process came to believe concerns the request: its
// entry's configuration, store and stops, what is known of its servers, and the
// naming and ordering of versions.
func bears(line Line, servers, processes map[string]bool) bool {
	if server := line.text("server"); server != "" {
		return servers[server] && processes[line.Process]
	}
	switch {
	case strings.HasPrefix(line.Event, "PV1"), strings.HasPrefix(line.Event, "PV2"):
		return processes[line.Process] && line.Event != peerConnected
	case line.Event == versionNamed:
		return processes[line.Process]
	case line.Event == orderSent, line.Event == versionLive, line.Event == engineLost:
		return true
	}
	return false
}

// Numbers of the events that a story turns on.
const (
	peerConnected  = "PV1101"
	accepted       = "PV2001"
	zoneEvacuated  = "PV2009"
	zoneReadmitted = "PV2010"
	versionNamed   = "PV3000"
	orderSent      = "PV3006"
	versionLive    = "PV3008"
	engineLost     = "PV3108"
	sent           = "PV4101"
	answered       = "PV4102"
	denied         = "PV4103"
	givenUp        = "PV4104"
	failed         = "PV4105"
	withheld       = "PV4106"
	streamCut      = "PV4107"
	callerLeft     = "PV4108"
	noServer       = "PV4109"
	withheldFor    = "PV4110"
	serverEjected  = "PV4204"
	serverTried    = "PV4209"
	serverEnded    = "PV4210"
	contentShut    = "PV4211"
	contentCleared = "PV4212"
)
