package policy

import "fmt"

// check names the setting that cannot be meant.
func (s *Settings) check() error {
	switch {
	case len(s.Classes) == 0:
		return fmt.Errorf("settings: Classes is empty")
	case s.Zone < 0 || len(s.Zones) > 0 && s.Zone >= len(s.Zones):
		return fmt.Errorf("settings: Zone %d is out of range", s.Zone)
	case s.Rules.ColdRamp < 0, s.Rules.DrainGrace < 0, s.Rules.AnswerSlack < 0, s.Rules.FallTime < 0,
		s.Rules.AskWithin < 0:
		return fmt.Errorf("settings: Rules has a negative duration")
	case s.Tick < 0 || s.Limits.MaxRetryAfter < 0:
		return fmt.Errorf("settings: Tick or Limits.MaxRetryAfter is negative")
	}
	for i, c := range s.Classes {
		if c.Aim < 0 || c.Deadline < 0 || c.Window < 0 {
			return fmt.Errorf("settings: Classes[%d] has a negative duration", i)
		}
	}
	return nil
}
