package main

import (
	"fmt"
	"log/slog"

	"mulleinpier/internal/config"
	"mulleinpier/internal/daemon"
	"mulleinpier/internal/proxy"
)

// configVariable is the environment variable with the path of the platform's configuration file.
const configVariable = "GW_CONFIG"

const (
	// levelVariable is the environment variable that sets the log level with the platform's configuration, which has no
	// key for it: debug, info, warn or error.
	levelVariable = "MULLEINPIER_LOG_LEVEL"
	// formerLevelVariable is the former name of levelVariable. It is supported for one more release.
	formerLevelVariable = "YARROWSPAN_LOG_LEVEL"
)

// runPlatformDefault runs the daemon with the platform's configuration and without options. The platform starts the
// program without a command, so no command line has to be parsed.
func runPlatformDefault(o daemon.Options) error {
	if o.Getenv(configVariable) == "" {
		return fmt.Errorf("%w: no command, and %s is not set", errUsage, configVariable)
	}
	o.Platform = true
	o.LoadConfig = platformLoader(o.Getenv)
	return daemon.Run(o)
}

// runPlatform runs the daemon with the platform's configuration and the options of the command platform.
func runPlatform(o daemon.Options, options platformOptions) error {
	load := platformLoader(o.Getenv)
	o.Platform = true
	o.LoadConfig = func() (*config.Config, error) {
		c, err := load()
		if err == nil {
			c.Proxy.Overload.Enabled = options.Reduce
			c.Proxy.LogCounts = options.Counts
		}
		return c, err
	}
	return daemon.Run(o)
}

// platformLoader returns a function that reads the platform's configuration. Environment variables take precedence over
// the file only at the start: they cannot change in a running process, so after a reload the file must take precedence.
func platformLoader(getenv func(string) string) func() (*config.Config, error) {
	started := false
	level, deprecated := logLevel(getenv)
	return func() (*config.Config, error) {
		c, err := proxy.ReadPlatformConfig(func(name string) string {
			if started && name != configVariable {
				return ""
			}
			return getenv(name)
		})
		started = true
		return &config.Config{Proxy: c, Log: config.Log{Level: level}, Deprecated: deprecated}, err
	}
}

// logLevel reads the log level from the environment. The level is info if it is unset or invalid.
func logLevel(getenv func(string) string) (level slog.Level, deprecated []config.DeprecatedVariable) {
	text := getenv(levelVariable)
	if former := getenv(formerLevelVariable); text == "" && former != "" {
		text = former
		deprecated = []config.DeprecatedVariable{{Name: formerLevelVariable, Replacement: levelVariable}}
	}
	if level.UnmarshalText([]byte(text)) != nil {
		return slog.LevelInfo, deprecated
	}
	return level, deprecated
}
