// Package promptclass divides the engines that hold a model between long prompts and short ones, so that the streams of short prompts do
// not pause while an engine prefills long ones. Processes that see about the same mix of prompts divide the engines in the same way without
// messages. It has no clock, network or goroutine.
package promptclass
