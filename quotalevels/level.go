package quotalevels

// Level bounds which share of its part a keeper uses. The zero value is the lowest level.
type Level int

// shares are the levels in percent of a part. A customer at 0.55 of its limit uses some 0.4 to 0.5 of the parts; the steps above the lowest level
// are small, so that a busy moment costs little of what a keeper may grant after a restart.
var shares = [...]int{55, 62, 70, 85, 100}

// Count is the number of levels.
const Count = len(shares)

// Highest is the level without a bound of its own.
const Highest = Level(Count - 1)

// Share returns the share of a part that a level allows.
func (l Level) Share() float64 { return float64(shares[l]) / 100 }

// levelOf returns the lowest level that allows a share in percent.
func levelOf(percent int) Level {
	for i, share := range shares {
		if percent <= share {
			return Level(i)
		}
	}
	return Highest
}
