package client

import (
	"errors"
	"fmt"
	"net"
	"time"

	"mulleinpier/client/internal/retry"
	"mulleinpier/internal/meta"
)

// Upper bounds of options.
const (
	maxTries   = 100
	maxConns   = 64
	maxDepth   = 256
	maxSubset  = 64
	maxWaiting = 1 << 20
	maxWait    = time.Hour
	maxSpread  = time.Minute
	maxIdle    = 24 * time.Hour
)

// Defaults of options that [retry.DefaultPolicy] does not define.
const (
	defaultRetryRatio = 0.1
	defaultRetryBurst = 3
	defaultSubset     = 3
	defaultConns      = 4
	defaultDepth      = 32
	defaultMaxWaiting = 16384
	defaultSpread     = time.Second
	defaultIdle       = 1500 * time.Millisecond // proxies close idle connections after 2 s
	dialTimeout       = time.Second
)

// optionErrors collects the errors in options.
type optionErrors []error

func (e *optionErrors) add(format string, a ...any) {
	*e = append(*e, fmt.Errorf("mulleinpier: options: "+format, a...))
}

// count replaces 0 by the default and checks that the value lies between 1 and highest.
func (e *optionErrors) count(name string, n *int, def, highest int) {
	if *n == 0 {
		*n = def
	}
	if *n < 1 || *n > highest {
		e.add("%s cannot be %d: want 1 to %d", name, *n, highest)
	}
}

// duration replaces 0 by the default and checks that the value lies between lowest and highest.
func (e *optionErrors) duration(name string, d *time.Duration, def, lowest, highest time.Duration) {
	if *d == 0 {
		*d = def
	}
	if *d < lowest || *d > highest {
		e.add("%s cannot be %v: want %v to %v", name, *d, lowest, highest)
	}
}

// class replaces an empty class by the default and checks the class.
func (e *optionErrors) class(name string, c *Class, def Class) {
	if *c == (Class{}) {
		*c = def
	}
	if err := c.check(); err != nil {
		e.add("%s: %v", name, err)
	}
}

// applyDefaults replaces zero values by defaults and returns all errors in the options together.
func (o *Options) applyDefaults() error {
	var errs optionErrors
	if o.Proxies == nil {
		errs.add("Proxies is needed")
	}
	errs.class("Read", &o.Read, Read)
	errs.class("Write", &o.Write, Write)
	if o.Tenant != "" && !meta.ValidName(o.Tenant) {
		errs.add("Tenant cannot be %q", o.Tenant)
	}
	minWait, margin := retry.DefaultPolicy.MinWait, retry.DefaultPolicy.SafetyMargin
	errs.duration("Window", &o.Window, retry.DefaultPolicy.DedupWindow, 2*minWait, maxWait)
	errs.duration("Margin", &o.Margin, min(margin, o.Window/2), 0, max(o.Window-minWait, 0))
	errs.count("Tries", &o.Tries, retry.DefaultPolicy.MaxAttempts, maxTries)
	o.applyBudgetDefaults()
	errs.count("Subset", &o.Subset, defaultSubset, maxSubset)
	errs.count("Conns", &o.Conns, defaultConns, maxConns)
	errs.count("Depth", &o.Depth, defaultDepth, maxDepth)
	errs.count("MaxWaiting", &o.MaxWaiting, defaultMaxWaiting, maxWaiting)
	errs.duration("Spread", &o.Spread, defaultSpread, time.Millisecond, maxSpread)
	errs.duration("StartSpread", &o.StartSpread, 0, 0, maxSpread)
	errs.duration("Idle", &o.Idle, defaultIdle, time.Millisecond, maxIdle)
	if o.Dial == nil {
		dialer := &net.Dialer{Timeout: dialTimeout}
		o.Dial = dialer.DialContext
	}
	if o.clock == nil {
		o.clock = systemClock()
	}
	return errors.Join(errs...)
}

// applyBudgetDefaults sets the retry budget. Negative values mean 0; a negative ratio sets the burst to 0 as well.
func (o *Options) applyBudgetDefaults() {
	if o.RetryRatio < 0 {
		o.RetryRatio = 0
		o.RetryBurst = -1
	} else if o.RetryRatio == 0 {
		o.RetryRatio = defaultRetryRatio
	}
	if o.RetryBurst < 0 {
		o.RetryBurst = 0
	} else if o.RetryBurst == 0 {
		o.RetryBurst = defaultRetryBurst
	}
}

func (c *Class) check() error {
	switch {
	case !meta.ValidName(c.Name):
		return fmt.Errorf("class name cannot be %q", c.Name)
	case c.Effect > Unsafe:
		return fmt.Errorf("class %s: there is no effect %d", c.Name, c.Effect)
	case c.LatencyObjective < 0:
		return fmt.Errorf("class %s: latency objective cannot be %v", c.Name, c.LatencyObjective)
	case c.Wait < retry.DefaultPolicy.MinWait || c.Wait > maxWait:
		return fmt.Errorf("class %s: wait cannot be %v: want %v to %v",
			c.Name, c.Wait, retry.DefaultPolicy.MinWait, maxWait)
	}
	return nil
}
