package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"github.com/vbauerster/mpb/v8"
	"github.com/vbauerster/mpb/v8/decor"

	"pinevane.example/pinevane/internal/configuration"
	"pinevane.example/pinevane/internal/deployment"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/node"
	"pinevane.example/pinevane/internal/weights"
)

type checkCommand struct {
	Arguments struct {
		Directory string `positional-arg-name:"DIR" description:"directory of templates and instances"`
	} `positional-args:"true" required:"true"`
}

// Execute runs the command.
func (c *checkCommand) Execute([]string) error {
	snapshot, err := configuration.ParseDirectory(c.Arguments.Directory)
	if err != nil {
		return err
	}
	if err := checkDeployment(c.Arguments.Directory); err != nil {
		return err
	}
	fmt.Printf("ok: %d models, %d services, %d tenants\n", len(snapshot.Models), len(snapshot.Services), len(snapshot.Tenants))
	return nil
}

// checkDeployment validates the deployment description, if the directory has one.
func checkDeployment(directory string) error {
	if _, err := os.Stat(filepath.Join(directory, configuration.DeploymentFile)); errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	_, err := deployment.Read(directory)
	return err
}

type renderCommand struct {
	Arguments struct {
		Directory string `positional-arg-name:"DIR" description:"directory of templates and instances"`
		Tenant    string `positional-arg-name:"TENANT" description:"name of a tenant"`
	} `positional-args:"true" required:"true"`
}

// Execute runs the command.
func (c *renderCommand) Execute([]string) error {
	snapshot, err := configuration.ParseDirectory(c.Arguments.Directory)
	if err != nil {
		return err
	}
	tenant, known := snapshot.Tenants[c.Arguments.Tenant]
	if !known {
		return &fault.InvalidSetting{Flag: "TENANT", Value: c.Arguments.Tenant, Allowed: "the name of a tenant in " + c.Arguments.Directory}
	}
	return printJSON(tenant)
}

func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return &fault.Unavailable{Target: "standard output", Operation: "write", Cause: err}
	}
	return nil
}

type manifestCommand struct {
	Model      string `long:"model" env:"PINEVANE_MANIFEST_MODEL" description:"name of the model" required:"true"`
	Version    string `long:"model-version" env:"PINEVANE_MANIFEST_VERSION" description:"name of the version" required:"true"`
	ChunkBytes int64  `long:"chunk-bytes" env:"PINEVANE_MANIFEST_CHUNK_BYTES" default:"16777216" description:"size of a chunk, 4096 to 268435456 bytes"`
	Output     string `long:"output" env:"PINEVANE_MANIFEST_OUTPUT" description:"file to write the manifest to; standard output when left out"`
	Arguments  struct {
		Directory string `positional-arg-name:"DIR" description:"directory of weight files"`
	} `positional-args:"true" required:"true"`
}

// Execute runs the command.
func (c *manifestCommand) Execute([]string) error {
	if err := checkInteger("--chunk-bytes", c.ChunkBytes, 4<<10, weights.MaximumChunkBytes, "bytes"); err != nil {
		return err
	}
	manifest, err := c.hashWithProgress()
	if err != nil {
		return err
	}
	data, digest, err := manifest.Encode()
	if err != nil {
		return err
	}
	if c.Output == "" {
		_, err = os.Stdout.Write(append(data, '\n'))
	} else {
		err = os.WriteFile(c.Output, data, 0o644)
	}
	if err != nil {
		return &fault.Unavailable{Target: "output", Operation: "write", Cause: err}
	}
	fmt.Fprintf(os.Stderr, "manifest %s: %d chunks, %d bytes\n", digest, len(manifest.Chunks), manifest.TotalBytes)
	return nil
}

// hashWithProgress builds the manifest and shows a progress bar on standard error.
func (c *manifestCommand) hashWithProgress() (*weights.Manifest, error) {
	bars := mpb.New(mpb.WithOutput(os.Stderr), mpb.WithAutoRefresh())
	bar := bars.AddBar(0, mpb.PrependDecorators(decor.Name("hashing ")), mpb.AppendDecorators(decor.Percentage()))
	manifest, err := weights.FromDirectory(c.Arguments.Directory, c.Model, c.Version, c.ChunkBytes, func(done, total int64) {
		bar.SetTotal(total, false)
		bar.SetCurrent(done)
	})
	bar.SetTotal(-1, true)
	bars.Wait()
	return manifest, err
}

type dumpCommand struct {
	Arguments struct {
		Address string `positional-arg-name:"ADDRESS" description:"administration address of a process, IP and port"`
	} `positional-args:"true" required:"true"`
}

const dumpTimeout = 10 * time.Second

// Execute runs the command.
func (c *dumpCommand) Execute([]string) error {
	if err := checkAddress("ADDRESS", c.Arguments.Address); err != nil {
		return err
	}
	client := &http.Client{Timeout: dumpTimeout}
	response, err := client.Get("http://" + c.Arguments.Address + node.DumpPath)
	if err != nil {
		return &fault.Unavailable{Target: c.Arguments.Address, Operation: "dump", Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return &fault.Unavailable{Target: c.Arguments.Address, Operation: "dump", Status: response.StatusCode}
	}
	if _, err := io.Copy(os.Stdout, response.Body); err != nil {
		return &fault.Unavailable{Target: c.Arguments.Address, Operation: "dump", Cause: err}
	}
	return nil
}

type versionCommand struct{}

// Execute runs the command.
func (c *versionCommand) Execute([]string) error {
	fmt.Printf("pinevane %s, %s, %s/%s\n", Version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
	return nil
}
