package site

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// layerRange is a range of a model's layers, to exclusive.
type layerRange struct {
	from, to int
}

func (r layerRange) within(other layerRange) bool { return r.from >= other.from && r.to <= other.to }

// allLayers is the range of all layers of the server's model.
func (s *Server) allLayers() layerRange {
	if s.options.Weights == nil {
		return layerRange{}
	}
	return layerRange{to: s.options.Weights.Layers}
}

// completelyLoaded reports whether every layer of a version is in service; the mutex is held.
func (s *Server) completelyLoaded() bool { return s.version != 0 && s.loadedLayers == s.allLayers() }

// layers are told beside the models; none while the server takes an order.
func (s *Server) layers() map[string]any {
	if s.options.Weights == nil || s.version == 0 || s.loading {
		return nil
	}
	return map[string]any{"from": s.loadedLayers.from, "targetVersion": s.loadedLayers.to, "version": s.version}
}

// startOrder is an order to take layers of a staged version into service; without a range,
// all of them.
type startOrder struct {
	Op       string `json:"op"`
	Version  uint64 `json:"version"`
	From     *int   `json:"from"`
	To       *int   `json:"targetVersion"`
	Expected *int   `json:"expectedRevision"`
}

// layers is the range that the order asks for, of a number in all; false when there is no such
// range.
func (o startOrder) layers(all layerRange) (layerRange, bool) {
	asked := all
	if o.From != nil {
		asked.from = *o.From
	}
	if o.To != nil {
		asked.to = *o.To
	}
	return asked, asked.within(all) && asked.from < asked.to
}

// serveOrder takes an order from the own machine.
func (s *Server) serveOrder(writer http.ResponseWriter, request *http.Request) {
	var order startOrder
	if json.NewDecoder(request.Body).Decode(&order) != nil || order.Op != "start" {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	asked, exists := order.layers(s.allLayers())
	more := s.version == order.Version
	switch {
	case !exists:
		writer.WriteHeader(http.StatusBadRequest)
	case s.loading || (order.Expected != nil && *order.Expected != s.sequence):
		writer.WriteHeader(http.StatusConflict)
	case more && asked.within(s.loadedLayers):
		writer.WriteHeader(http.StatusOK)
	default:
		s.sequence++
		s.loading = true
		spoilt := s.stagedCorrupt(order.Version, asked) || (more && s.corrupt)
		go s.load(order.Version, asked, spoilt)
		writer.WriteHeader(http.StatusAccepted)
	}
}

// stagedCorrupt reports whether what lies here is not what layers of a version consist of; the
// mutex is held. A piece that two layers share belongs to both.
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

// load takes layers of a version into service after what runs.
func (s *Server) load(version uint64, layers layerRange, spoilt bool) {
	for {
		s.mutex.Lock()
		running, freed := s.running, s.freed
		s.mutex.Unlock()
		if running == 0 {
			break
		}
		<-freed
	}
	time.Sleep(s.options.Warm)
	s.mutex.Lock()
	s.version, s.loadedLayers, s.corrupt, s.loading = version, layers, spoilt, false
	s.notifyWaiting()
	s.mutex.Unlock()
	s.writeHeartbeat()
}

func (s *Server) serveStage(writer http.ResponseWriter, request *http.Request) {
	own, _, _ := net.SplitHostPort(s.options.Address)
	from, _, _ := net.SplitHostPort(request.RemoteAddr)
	// On loopback the own machine shows as the system's first address.
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
		for one := range s.staged {
			held = append(held, one)
		}
		writeJSON(writer, map[string]any{"held": held})
	case s.staged[index] == nil:
		writer.WriteHeader(http.StatusNotFound)
	default:
		_, _ = writer.Write(s.staged[index])
	}
}
