package fleet

// Omission is why a target is left out of a choice.
type Omission string

// The reasons for which targets are left out.
const (
	OmittedLeaving          Omission = "leaving"
	OmittedReplaced         Omission = "replaced" // another target, or a later run, has the address
	OmittedOtherVersion     Omission = "other-software-version"
	OmittedVersionNotStored Omission = "software-version-not-stored" // the row of software versions does not have its version yet
	OmittedBackingOff       Omission = "backing-off"                 // connections have failed, and others are available
	OmittedLacksModel       Omission = "lacks-model"
	OmittedExcluded         Omission = "excluded"           // by the query
	OmittedNoTurn           Omission = "limit-or-rest"      // it takes no request of this gateway now, by what it has said of itself
	OmittedFull             Omission = "full"               // it has no room, and others have
	OmittedOtherClass       Omission = "other-prompt-class" // it is for the other class of prompts, and those for the request's class do
	OmittedOther            Omission = "not-a-candidate"    // for a reason that is not recorded
)

// omissions are the targets that are left out of a choice, by id. The nil map records nothing.
type omissions map[string]Omission

// add records why a target is left out; it always returns true.
func (o omissions) add(s *targetState, why Omission) bool {
	if o != nil {
		o[s.ID] = why
	}
	return true
}
