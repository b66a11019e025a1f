// Package explain combines the log lines of many processes into an explanation of
// one request: the decisions on it with their inputs, and the relevant state of
// the processes at that time.
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

// Line is a parsed log line.
type Line struct {
	Time    time.Time
	Process string
	Event   string
	Message string
	Fields  map[string]any
}

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// Read reads the JSON lines of a log. A prefix before the opening brace of a line, as
// log collectors write it, is ignored. Lines without an event are skipped.
func Read(source io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
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
	line := Line{Fields: fields, Process: takeText(fields, "process"), Event: takeText(fields, "event"), Message: takeText(fields, "msg")}
	at, err := time.Parse(time.RFC3339Nano, takeText(fields, "ts"))
	delete(fields, "level")
	line.Time = at
	return line, err == nil && line.Event != ""
}

func takeText(fields map[string]any, name string) string {
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

// String formats the line for display.
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

// Explanation is the result of an analysis of the logs for one request.
type Explanation struct {
	RequestID string
	// Lines contains the request's own lines and the relevant lines of processes, in order of time.
	Lines []Line
	// Cause is a sentence that explains the outcome of the request.
	Cause string
}

// Time before and after a request within which other relevant lines are included.
const (
	contextBefore = 12 * time.Second
	contextAfter  = time.Second
)

// Explain combines the lines of all processes into the explanation of a request. The
// explanation of an unknown request has no lines.
func Explain(lines []Line, requestID string) Explanation {
	explanation := Explanation{RequestID: requestID}
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
		explanation.Cause = "no line names the request: it reached no process whose log is given, or its connection was refused"
		return explanation
	}
	sortByTime(own)
	from, until := own[0].Time.Add(-contextBefore), own[len(own)-1].Time.Add(contextAfter)
	for _, line := range lines {
		if line.text("request") == "" && !line.Time.Before(from) && !line.Time.After(until) && isRelevant(line, servers, processes) {
			explanation.Lines = append(explanation.Lines, line)
		}
	}
	explanation.Lines = addEvacuations(explanation.Lines, lines, processes, own[0].Time)
	explanation.Lines = addFingerprintLines(explanation.Lines, lines, own)
	explanation.Lines = append(explanation.Lines, own...)
	sortByTime(explanation.Lines)
	explanation.Cause = cause(own, explanation.Lines)
	return explanation
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
}

// isRelevant reports whether a line that does not name the request is relevant to it:
// the configuration, store and shutdown of its entry, the state of its servers, and
// version announcements and orders.
func isRelevant(line Line, servers, processes map[string]bool) bool {
	if server := line.text("server"); server != "" {
		return servers[server] && processes[line.Process]
	}
	switch {
	case strings.HasPrefix(line.Event, "PV1"), strings.HasPrefix(line.Event, "PV2"):
		return processes[line.Process] && line.Event != peerConnected
	case line.Event == versionAnnounced:
		return processes[line.Process]
	case line.Event == orderSent, line.Event == versionLive, line.Event == engineLost:
		return true
	}
	return false
}

// Numbers of the events that an explanation evaluates.
const (
	peerConnected          = "PV1101"
	snapshotAccepted       = "PV2001"
	zoneEvacuated          = "PV2009"
	zoneReadmitted         = "PV2010"
	versionAnnounced       = "PV3000"
	orderSent              = "PV3006"
	versionLive            = "PV3008"
	engineLost             = "PV3108"
	requestSent            = "PV4101"
	requestAnswered        = "PV4102"
	requestDenied          = "PV4103"
	requestGivenUp         = "PV4104"
	attemptFailed          = "PV4105"
	retryWithheld          = "PV4106"
	streamCut              = "PV4107"
	callerLeft             = "PV4108"
	noServerChosen         = "PV4109"
	contentWithheld        = "PV4110"
	requestUnanswered      = "PV4111"
	handlerPanicked        = "PV4112"
	serverEjected          = "PV4204"
	serverTrial            = "PV4209"
	serverCrashed          = "PV4210"
	fingerprintQuarantined = "PV4211"
	quarantineEnded        = "PV4212"
)
