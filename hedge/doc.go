// Package hedge makes reads of which one that is late goes on beside the next, so that a way that takes long makes answers late and loses none.
package hedge
