// Package journal defines the records of a failure domain's stream in the log
// service and folds them, in offset order, into what is known of each shard:
// its owner, its jobs, the intents of non-idempotent requests and where tasks
// were moved. All readers of the stream get the same result.
package journal
