package command

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"time"

	"go.uber.org/zap/zapcore"

	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/node"
)

// processFlags are the flags that entries and agents share.
type processFlags struct {
	Settings      string        `long:"settings" env:"PINEVANE_CONFIG" description:"settings file of the platform; replaces every other flag except the log level"`
	ID            string        `long:"id" env:"PINEVANE_ID" description:"name of this process on the membership list, unique in the fleet"`
	Zone          string        `long:"zone" env:"PINEVANE_ZONE" description:"zone that this process is in"`
	Region        string        `long:"region" env:"PINEVANE_REGION" description:"region that the zone is in"`
	Listen        string        `long:"listen" env:"PINEVANE_LISTEN" description:"IP address and port that peers and callers reach"`
	AdminListen   string        `long:"admin-listen" env:"PINEVANE_ADMIN_LISTEN" default:"127.0.0.1:0" description:"IP address and port of metrics and state dump; keep it on loopback"`
	Configuration string        `long:"configuration" env:"PINEVANE_CONFIGURATION" description:"IP address and port of the configuration service"`
	Membership    string        `long:"membership" env:"PINEVANE_MEMBERSHIP" description:"IP address and port of the membership service"`
	Seeds         []string      `long:"seed" env:"PINEVANE_SEEDS" env-delim:"," description:"IP address and port of a peer to learn from when the platform is unreachable; may be repeated"`
	StartJitter   time.Duration `long:"start-jitter" env:"PINEVANE_START_JITTER" default:"200ms" description:"maximum random delay of the first read of the platform, 0s to 60s"`
	SettleTime    time.Duration `long:"settle-time" env:"PINEVANE_SETTLE_TIME" default:"2s" description:"time to keep answering after the readiness check fails, 0s to 10m"`
	GraceTime     time.Duration `long:"grace-time" env:"PINEVANE_GRACE_TIME" default:"0s" description:"time within which a stopping process ends and refuses what is still open, longer than the settle time and shorter than the time after which the platform kills it, up to 24h; 0s waits for as long as requests take"`
	LogLevel      string        `long:"log-level" env:"PINEVANE_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
	Profile       bool          `long:"profile" env:"PINEVANE_PROFILE" description:"serve pprof on the administration address"`
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

func (f *processFlags) check() error {
	for _, address := range []struct{ flag, value string }{
		{"--listen", f.Listen}, {"--admin-listen", f.AdminListen},
		{"--configuration", f.Configuration}, {"--membership", f.Membership},
	} {
		if err := checkAddress(address.flag, address.value); err != nil {
			return err
		}
	}
	for _, name := range []struct{ flag, value string }{{"--id", f.ID}, {"--zone", f.Zone}, {"--region", f.Region}} {
		if !namePattern.MatchString(name.value) {
			return &fault.InvalidSetting{Flag: name.flag, Value: name.value, Allowed: "1 to 128 letters, digits, dots, dashes or underscores"}
		}
	}
	for _, seed := range f.Seeds {
		if err := checkAddress("--seed", seed); err != nil {
			return err
		}
	}
	if err := checkDuration("--start-jitter", f.StartJitter, 0, time.Minute); err != nil {
		return err
	}
	if err := checkDuration("--settle-time", f.SettleTime, 0, 10*time.Minute); err != nil {
		return err
	}
	if f.GraceTime == 0 {
		return nil
	}
	return checkDuration("--grace-time", f.GraceTime, f.SettleTime+minGraceBeyondSettle, 24*time.Hour)
}

// minGraceBeyondSettle is how much longer than the settle time a grace period must be, so that requests
// that are taken until then have some time.
const minGraceBeyondSettle = 2 * time.Second

func (f *processFlags) logger() (*logging.Logger, error) {
	level, err := zapcore.ParseLevel(f.LogLevel)
	if err != nil || level > zapcore.ErrorLevel {
		return nil, &fault.InvalidSetting{Flag: "--log-level", Value: f.LogLevel, Allowed: "debug, info, warn or error"}
	}
	return logging.New(level, f.ID)
}

func (f *processFlags) nodeOptions(role external.Role) node.Options {
	return node.Options{
		ID: f.ID, Role: role, Zone: f.Zone, Region: f.Region, Listen: f.Listen, AdminListen: f.AdminListen,
		ConfigurationAddress: f.Configuration, MembershipAddress: f.Membership, Seeds: f.Seeds,
		StartJitter: f.StartJitter, SettleTime: f.SettleTime, Grace: f.GraceTime, Profile: f.Profile,
	}
}

// checkAddress accepts an IP address and port. Host names are rejected, because processes don't
// resolve names.
func checkAddress(flag, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return &fault.InvalidSetting{Flag: flag, Value: value, Allowed: "an IP address and port, for example 127.0.0.1:7400"}
	}
	return nil
}

func checkDuration(flag string, value, low, high time.Duration) error {
	if value < low || value > high {
		return &fault.InvalidSetting{Flag: flag, Value: value.String(), Allowed: fmt.Sprintf("%s to %s", low, high)}
	}
	return nil
}

func checkInteger(flag string, value, low, high int64, unit string) error {
	if value < low || value > high {
		return &fault.InvalidSetting{Flag: flag, Value: strconv.FormatInt(value, 10), Allowed: fmt.Sprintf("%d to %d %s", low, high, unit)}
	}
	return nil
}

func checkRatio(flag string, value, low, high float64) error {
	if !(value >= low && value <= high) {
		return &fault.InvalidSetting{Flag: flag, Value: strconv.FormatFloat(value, 'g', -1, 64), Allowed: fmt.Sprintf("a fraction of %g to %g", low, high)}
	}
	return nil
}
