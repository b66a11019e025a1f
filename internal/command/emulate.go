package command

import (
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"pinevane.example/pinevane/internal/configuration"
	"pinevane.example/pinevane/internal/deployment"
	"pinevane.example/pinevane/internal/emulator"
	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/logging"
)

type emulateCommand struct {
	Platform emulatePlatformCommand `command:"platform" description:"Emulate the configuration and membership services and the weight origin"`
	Machine  emulateMachineCommand  `command:"machine" description:"Emulate machines with a model engine and a weight store"`
	Service  emulateServiceCommand  `command:"service" description:"Emulate a plain service"`
}

// serveUntilStopped serves emulated components until a stop signal.
func serveUntilStopped(name string, handlers map[string]http.Handler) error {
	log, err := logging.New(zapcore.InfoLevel, name)
	if err != nil {
		return err
	}
	defer log.Sync()
	for address, handler := range handlers {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return &fault.Unavailable{Target: address, Operation: "listen", Cause: err}
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
		go func() { _ = server.Serve(listener) }()
		log.Log(logging.EmulatorStarted, zap.String("listen", address))
	}
	<-stopSignal()
	return nil
}

type emulatePlatformCommand struct {
	Listen        string        `long:"listen" env:"PINEVANE_EMULATE_LISTEN" description:"IP address and port of all three services"`
	Documents     string        `long:"documents" env:"PINEVANE_EMULATE_DOCUMENTS" description:"directory of documents to publish, with its deployment.yaml for the weights"`
	Epoch         int64         `long:"epoch" env:"PINEVANE_EMULATE_EPOCH" default:"1" description:"epoch of the publications, 1 to 10^9"`
	MembershipLag time.Duration `long:"membership-lag" env:"PINEVANE_EMULATE_MEMBERSHIP_LAG" default:"1s" description:"lag of the membership list, 0s to 10m"`
	OriginRate    int64         `long:"origin-rate" env:"PINEVANE_EMULATE_ORIGIN_RATE" default:"0" description:"origin's link in bytes a second, 0 (no limit) or 65536 to 10^12"`
}

// Execute runs the command.
func (c *emulatePlatformCommand) Execute([]string) error {
	if err := checkAddress("--listen", c.Listen); err != nil {
		return err
	}
	if err := checkInteger("--epoch", c.Epoch, 1, 1_000_000_000, ""); err != nil {
		return err
	}
	if err := checkDuration("--membership-lag", c.MembershipLag, 0, 10*time.Minute); err != nil {
		return err
	}
	if c.OriginRate != 0 {
		if err := checkInteger("--origin-rate", c.OriginRate, minLinkRate, maxLinkRate, "bytes a second, or 0"); err != nil {
			return err
		}
	}
	published := emulator.NewPublication(uint64(c.Epoch), 0)
	members := emulator.NewPublication(uint64(c.Epoch), c.MembershipLag)
	origin := emulator.NewOrigin(c.OriginRate)
	if c.Documents != "" {
		if err := publishDirectory(c.Documents, published, origin); err != nil {
			return err
		}
	}
	router := chi.NewRouter()
	published.Mount(router, external.ConfigurationPath)
	members.Mount(router, external.MembershipPath)
	router.Mount("/", origin.Handler())
	return serveUntilStopped("emulate-platform", map[string]http.Handler{c.Listen: router})
}

func publishDirectory(directory string, published *emulator.Publication, origin *emulator.Origin) error {
	documents, err := configuration.ReadDirectory(directory)
	if err != nil {
		return err
	}
	deployed, err := deployment.Read(directory)
	if err != nil {
		return err
	}
	for _, synthetic := range deployed.Weights {
		if _, _, err := origin.Add(synthetic); err != nil {
			return err
		}
	}
	published.Change(documents)
	return nil
}

type emulateMachineCommand struct {
	Listen        []string      `long:"listen" env:"PINEVANE_EMULATE_LISTEN" env-delim:"," description:"IP address and port of a machine; may be repeated"`
	FirstToken    time.Duration `long:"first-token" env:"PINEVANE_EMULATE_FIRST_TOKEN" default:"40ms" description:"prefill time of an uncached prompt, 0s to 1m"`
	BetweenTokens time.Duration `long:"between-tokens" env:"PINEVANE_EMULATE_BETWEEN_TOKENS" default:"8ms" description:"time of a decoding step, 100us to 1m"`
	LoadTime      time.Duration `long:"load-time" env:"PINEVANE_EMULATE_LOAD_TIME" default:"300ms" description:"time to load a version, 0s to 10m"`
	StoreRate     int64         `long:"store-rate" env:"PINEVANE_EMULATE_STORE_RATE" default:"0" description:"weight store's writes in bytes a second, 0 (no limit) or 65536 to 10^12"`
	UncheckFences bool          `long:"uncheck-fences" env:"PINEVANE_EMULATE_UNCHECK_FENCES" description:"accept orders whatever their fence"`
}

// Execute runs the command.
func (c *emulateMachineCommand) Execute([]string) error {
	if err := checkDuration("--first-token", c.FirstToken, 0, time.Minute); err != nil {
		return err
	}
	if err := checkDuration("--between-tokens", c.BetweenTokens, 100*time.Microsecond, time.Minute); err != nil {
		return err
	}
	if err := checkDuration("--load-time", c.LoadTime, 0, 10*time.Minute); err != nil {
		return err
	}
	if c.StoreRate != 0 {
		if err := checkInteger("--store-rate", c.StoreRate, minLinkRate, maxLinkRate, "bytes a second, or 0"); err != nil {
			return err
		}
	}
	if len(c.Listen) == 0 {
		return checkAddress("--listen", "")
	}
	options := emulator.DefaultEngineOptions()
	options.FirstToken, options.BetweenTokens, options.LoadTime = c.FirstToken, c.BetweenTokens, c.LoadTime
	options.CheckFences = !c.UncheckFences
	handlers := map[string]http.Handler{}
	for _, address := range c.Listen {
		if err := checkAddress("--listen", address); err != nil {
			return err
		}
		handlers[address] = emulator.NewEngine(options, emulator.NewStore(c.StoreRate)).Handler()
	}
	return serveUntilStopped("emulate-machine", handlers)
}

type emulateServiceCommand struct {
	Listen string        `long:"listen" env:"PINEVANE_EMULATE_LISTEN" description:"IP address and port of the service"`
	Name   string        `long:"name" env:"PINEVANE_EMULATE_NAME" description:"name of the service"`
	Delay  time.Duration `long:"delay" env:"PINEVANE_EMULATE_DELAY" default:"5ms" description:"time of a call, 0s to 10m"`
}

// Execute runs the command.
func (c *emulateServiceCommand) Execute([]string) error {
	if err := checkAddress("--listen", c.Listen); err != nil {
		return err
	}
	if err := checkDuration("--delay", c.Delay, 0, 10*time.Minute); err != nil {
		return err
	}
	return serveUntilStopped("emulate-"+c.Name, map[string]http.Handler{
		c.Listen: emulator.NewService(c.Name, c.Delay).Handler(),
	})
}

// executablePath returns the path of this binary, for commands that start processes.
func executablePath() (string, error) {
	path, err := os.Executable()
	if err != nil {
		return "", &fault.Unavailable{Target: "executable", Operation: "locate", Cause: err}
	}
	return path, nil
}
