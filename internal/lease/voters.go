package lease

// MaxVoters is the maximum number of voters of a fleet.
const MaxVoters = 7

// VoterID returns the ID of the voter with a name, or 0 if there is none.
func (m *StateMachine) VoterID(name string) uint64 {
	for id, n := range m.Voters {
		if n == name {
			return id
		}
	}
	return 0
}

// CheckVoterChange returns the ID of the voter that an AddVoter or RemoveVoter adds or removes, or
// ErrInvalidVoterChange. It changes nothing.
func (m *StateMachine) CheckVoterChange(c *Command) (id uint64, err error) {
	id = m.VoterID(c.To)
	if c.Kind == AddVoter {
		if id != 0 || len(m.Voters) >= MaxVoters {
			return 0, ErrInvalidVoterChange
		}
		return m.LastVoterID + 1, nil
	}
	if c.Kind == RemoveVoter && (id == 0 || len(m.Voters) == 1) {
		return 0, ErrInvalidVoterChange
	}
	return id, nil
}

// changeVoters adds or removes a voter. A command whose VoterID is not the expected one is rejected: another change was
// applied after the command had been proposed.
func (m *StateMachine) changeVoters(c *Command) error {
	id, err := m.CheckVoterChange(c)
	switch {
	case err != nil:
		return err
	case id != c.VoterID:
		return ErrInvalidVoterChange
	case c.Kind == AddVoter:
		m.LastVoterID = id
		m.Voters[id] = c.To
	default:
		delete(m.Voters, id)
	}
	return nil
}
