package loadgen

import (
	"context"
	"slices"
	"testing"
	"time"
)

func TestBusiestSpanIsFound(t *testing.T) {
	times := []time.Duration{100, 0, 10, 51, 99, 200, 149}
	if n := busiest(slices.Clone(times), 50); n != 3 { // 51, 99 and 100; 99 and 149 are too far apart
		t.Fatal(n)
	}
	if n := busiest(nil, 50); n != 0 {
		t.Fatal(n)
	}
}

func TestConfigIsChecked(t *testing.T) {
	good := Config{
		Kind:      Naive,
		Addresses: []string{"127.0.0.1:1"},
		Clients:   1,
		Rate:      1,
		Phases:    []Phase{{"a", time.Second}},
		Keys:      1,
		Skew:      1.1,
	}
	if err := good.check(); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(*Config){
		"kind":     func(c *Config) { c.Kind = "rude" },
		"proxies":  func(c *Config) { c.Addresses = nil },
		"clients":  func(c *Config) { c.Clients = 10001 },
		"rate":     func(c *Config) { c.Rate = 20001 },
		"no rate":  func(c *Config) { c.Rate = 0 },
		"no phase": func(c *Config) { c.Phases = nil },
		"duration": func(c *Config) { c.Phases = []Phase{{"a", 2 * time.Hour}} },
		"share":    func(c *Config) { c.HandoverShare = 1.1 },
		"skew":     func(c *Config) { c.Skew = 1 },
		"no keys":  func(c *Config) { c.Keys = 0 },
	} {
		c := good
		change(&c)
		if _, err := Run(context.Background(), c); err == nil {
			t.Errorf("%s: %+v was accepted", name, c)
		}
	}
}
