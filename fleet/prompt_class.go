package fleet

import "gypsumbank/promptclass"

// spillMs is by how much the least cost among the holders for a request's class of prompts must exceed that among the others for these to
// be chosen as well. It is above the time to prefill the 6,300 tokens that long prompts share, 164 ms, so that a cached part does not
// decide on the class, and low enough for a long prompt that waits so long for its turn to meet an objective of 800 ms.
const spillMs = 200

// PromptClass tells how a target was chosen where the holders of a model are divided between long and short prompts.
type PromptClass string

// The prompt classes of choices.
const (
	Undivided    PromptClass = "undivided"     // the target may serve both classes
	OwnHolder    PromptClass = "own-holder"    // the target is for the request's class
	OthersHolder PromptClass = "others-holder" // the target is for the other class, as those for its own cost more or have no room
)

// divide returns the options that are for a request's class of prompts, and the others. All are for it
// unless there are many gateways; with few, mixingCost keeps the classes apart.
func (f *Fleet) divide(options []option, query Query) (own, others []option) {
	if len(options) == 0 || f.gatewayCountLocked() < manyGateways || query.Request.Model == "" {
		return options, nil
	}
	mix := f.promptMixes[options[0].target.Service]
	if mix == nil {
		return options, nil
	}
	ids := make([]string, 0, len(options))
	for i := range options {
		ids = append(ids, options[i].target.ID)
	}
	short := promptclass.Short(ids, mix.work.Share())
	if len(short) == 0 {
		return options, nil
	}
	ownCount := len(short)
	isLong := isLongPrompt(query.Request)
	if isLong {
		ownCount = len(options) - len(short)
	}
	own, others = make([]option, 0, ownCount), make([]option, 0, len(options)-ownCount)
	for i := range options {
		if short[options[i].target.ID] != isLong {
			own = append(own, options[i])
			own[len(own)-1].choice.PromptClass = OwnHolder
		} else {
			others = append(others, options[i])
			others[len(others)-1].choice.PromptClass = OthersHolder
		}
	}
	return own, others
}

// withinClass returns the options to choose from: those of the request's own class, or all if these cost clearly more. The costs of the
// others are raised then, so that they get what is too much for its own class. Options without room are left out if there are others.
func withinClass(own, others []option) []option {
	if openOwn, openOthers := withRoom(own), withRoom(others); len(openOwn)+len(openOthers) > 0 {
		own, others = openOwn, openOthers
	}
	if len(others) == 0 {
		return own
	}
	if len(own) == 0 {
		return others
	}
	if own[leastCost(own)].costMs <= others[leastCost(others)].costMs+spillMs {
		return own
	}
	for i := range others {
		others[i].add(ClassCost, spillMs)
	}
	return append(own, others...)
}
