package site

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// layerRange is a range of a model's layers; to is exclusive.
type layerRange struct {
	from, to int
}

func (r layerRange) within(other layerRange) bool { return r.from >= other.from && r.to <= other.to }

// allLayers returns the range of all layers of the server's model.
func (s *Server) allLayers() layerRange {
	if s.options.Weights == nil {
		return layerRange{}
	}
	return layerRange{to: s.options.Weights.Layers}
}

// completelyLoaded reports whether every layer of the version is loaded. The mutex must be held.
func (s *Server) completelyLoaded() bool { return s.version != 0 && s.loadedLayers == s.allLayers() }

// layers returns the loaded layer range for status reports, or nil while an order is executed.
func (s *Server) layers() map[string]any {
	if s.options.Weights == nil || s.version == 0 || s.loading {
		return nil
	}
	return map[string]any{"from": s.loadedLayers.from, "targetVersion": s.loadedLayers.to, "version": s.version}
}

// startOrder is an order to load layers of a staged version; without a range, all of them.
type startOrder struct {
	Op       string `json:"op"`
	Version  uint64 `json:"version"`
	From     *int   `json:"from"`
	To       *int   `json:"targetVersion"`
	Expected *int   `json:"expectedRevision"`
}

// layers returns the requested range, and false if it is empty or exceeds the model's layers.
func (o startOrder) layers(all layerRange) (layerRange, bool) {
	requested := all
	if o.From != nil {
		requested.from = *o.From
	}
	if o.To != nil {
		requested.to = *o.To
	}
	return requested, requested.within(all) && requested.from < requested.to
}

// serveOrder accepts an order from the agent on the same machine.
func (s *Server) serveOrder(writer http.ResponseWriter, request *http.Request) {
	var order startOrder
	if json.NewDecoder(request.Body).Decode(&order) != nil || order.Op != "start" {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	s.pauseAtOrder()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	requested, exists := order.layers(s.allLayers())
	sameVersion := s.version == order.Version
	switch {
	case !exists:
		writer.WriteHeader(http.StatusBadRequest)
	case s.loading || (order.Expected != nil && *order.Expected != s.sequence):
		writer.WriteHeader(http.StatusConflict)
	case sameVersion && requested.within(s.loadedLayers):
		writer.WriteHeader(http.StatusOK)
	default:
		s.sequence++
		s.loading = true
		corrupt := s.stagedCorrupt(order.Version, requested) || (sameVersion && s.corrupt)
		go s.load(order.Version, requested, corrupt)
		writer.WriteHeader(http.StatusAccepted)
	}
}

// pauseAtOrder pauses the server before it takes an order, if it is to. The order is taken after the pause even if its
// sender has given up.
func (s *Server) pauseAtOrder() {
	s.mutex.Lock()
	pause, corrupt := s.faults.PauseAtOrder, s.faults.CorruptAtOrder
	s.faults.PauseAtOrder = 0
	s.mutex.Unlock()
	if pause == 0 {
		return
	}
	for piece := range corrupt {
		s.CorruptStaged(piece)
	}
	s.Pause(pause)
	s.waitWhilePaused(context.Background())
}

// stagedCorrupt reports whether a staged piece of the layers is missing or corrupt. The mutex
// must be held. A piece that two layers share belongs to both.
func (s *Server) stagedCorrupt(version uint64, layers layerRange) bool {
	weights := s.options.Weights
	first := layers.from * weights.Pieces / weights.Layers
	end := (layers.to*weights.Pieces + weights.Layers - 1) / weights.Layers
	for index := first; index < end; index++ {
		if string(s.staged[index]) != string(s.options.Weights.Piece(version, index)) {
			return true
		}
	}
	return false
}

// load waits until no request is running, then loads layers of a version.
func (s *Server) load(version uint64, layers layerRange, corrupt bool) {
	for {
		s.mutex.Lock()
		running, slotFreed := s.running, s.slotFreed
		s.mutex.Unlock()
		if running == 0 {
			break
		}
		<-slotFreed
	}
	time.Sleep(s.options.Warm)
	s.mutex.Lock()
	s.version, s.loadedLayers, s.corrupt, s.loading = version, layers, corrupt, false
	s.notifyWaiting()
	s.mutex.Unlock()
	s.writeHeartbeat()
}

func (s *Server) serveStage(writer http.ResponseWriter, request *http.Request) {
	own, _, _ := net.SplitHostPort(s.options.Address)
	from, _, _ := net.SplitHostPort(request.RemoteAddr)
	// On loopback, connections from the same machine may come from 127.0.0.1.
	if from != own && from != "127.0.0.1" {
		writer.WriteHeader(http.StatusForbidden)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	text := request.URL.Query().Get("numItems")
	index, err := strconv.Atoi(text)
	switch {
	case request.Method == http.MethodPut && err == nil:
		content, _ := io.ReadAll(request.Body)
		s.staged[index] = content
	case text == "":
		held := []int{}
		for piece := range s.staged {
			held = append(held, piece)
		}
		writeJSON(writer, map[string]any{"held": held})
	case s.staged[index] == nil:
		writer.WriteHeader(http.StatusNotFound)
	default:
		_, _ = writer.Write(s.staged[index])
	}
}
