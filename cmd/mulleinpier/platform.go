package main

import (
	"fmt"
	"log/slog"

	"mulleinpier/internal/config"
	"mulleinpier/internal/daemon"
	"mulleinpier/internal/proxy"
)

// configVariable names the platform's configuration file.
const configVariable = "GW_CONFIG"

const (
	// levelVariable names the log level where there is no configuration of the daemon's own: debug, info, warn or
	// error.
	levelVariable = "MULLEINPIER_LOG_LEVEL"
	// formerLevelVariable is the name that the variable had before; it is read for one release more.
	formerLevelVariable = "YARROWSPAN_LOG_LEVEL"
)

// runPlatformDefault serves as the platform has it. The platform gives no command, and this start needs no parser.
func runPlatformDefault(o daemon.Options) error {
	if o.Getenv(configVariable) == "" {
		return fmt.Errorf("%w: no command, and %s is not set", errUsage, configVariable)
	}
	o.Platform = true
	o.LoadConfig = platformLoader(o.Getenv)
	return daemon.Run(o)
}

// runPlatform serves as the platform has it, with what the options add.
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

// platformLoader returns a function that reads the platform's configuration. Environment variables have precedence
// over the file at the start only: they cannot have changed since, so a reload reads the file alone.
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

// logLevel reads the log level from the environment; an invalid one means info.
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
