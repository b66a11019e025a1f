package loadquery

import (
	"context"
	"net"
	"strconv"
	"testing"

	"pinevane.example/pinevane/internal/logging"
)

// BenchmarkQuery measures the cost of a query to one agent and its answer in both processes
// together, over loopback.
func BenchmarkQuery(b *testing.B) {
	server := &fakeServer{address: "127.0.35.1:8001", waiting: 3}
	responder, err := NewResponder("127.0.35.1:0", server, logging.Nop())
	if err != nil {
		b.Fatal(err)
	}
	defer responder.Close()
	go responder.Run()
	_, text, err := net.SplitHostPort(responder.Address())
	if err != nil {
		b.Fatal(err)
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		b.Fatal(err)
	}
	client := NewClient(port, logging.Nop())
	if err := client.Open("127.0.0.1"); err != nil {
		b.Fatal(err)
	}
	defer client.Close()
	b.ReportAllocs()
	for b.Loop() {
		client.Query(context.Background(), []string{server.address})
	}
}
