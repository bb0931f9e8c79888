package statusline

import "net/http"

// endOfStatuses is above all statuses that are valid in HTTP.
const endOfStatuses = 600

// IsInterim reports whether an answer with a status is followed by another one to the same request.
func IsInterim(status int) bool { return status >= http.StatusContinue && status < http.StatusOK }

// IsFinal reports whether a status may be that of the answer to a request.
func IsFinal(status int) bool { return status >= http.StatusOK && status < endOfStatuses }
