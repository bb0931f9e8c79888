// Package queue schedules requests on the slots of one target, by weighted shares among members and by least attained
// service within a member.
package queue
