package command

import (
	"net/http"

	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/gateway"
)

// releaseCommand ends the quarantine of a request fingerprint.
type releaseCommand struct {
	Arguments struct {
		Address     string `positional-arg-name:"ADDRESS" description:"administration address of an entry, IP and port"`
		Fingerprint string `positional-arg-name:"CONTENT" description:"fingerprint of the request content, 32 hexadecimal digits, as shown in the dump and PV4211"`
	} `positional-args:"true" required:"true"`
}

// Execute runs the command.
func (c *releaseCommand) Execute([]string) error {
	if err := checkAddress("ADDRESS", c.Arguments.Address); err != nil {
		return err
	}
	client := &http.Client{Timeout: dumpTimeout}
	response, err := client.Post("http://"+c.Arguments.Address+gateway.ReleasePath+c.Arguments.Fingerprint, "", nil)
	if err != nil {
		return &fault.Unavailable{Target: c.Arguments.Address, Operation: "release", Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNoContent:
		return nil
	case http.StatusBadRequest:
		return &fault.InvalidSetting{Flag: "CONTENT", Value: c.Arguments.Fingerprint, Allowed: "32 hexadecimal digits"}
	}
	return &fault.Unavailable{Target: c.Arguments.Address, Operation: "release", Status: response.StatusCode}
}
