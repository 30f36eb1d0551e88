// Package journal keeps a replica's log, hard state and snapshots in one data folder.
//
// One goroutine writes. Batches that wait while it syncs are written together as one frame and made durable
// by one sync (group commit); each batch is then reported as synced. After the first failed write or sync
// nothing is ever reported as synced again, since what the file system holds is then unknown.
//
// The folder holds:
//
//	replica              identity: the format and the replica ID, made when the folder is first opened
//	log-NUMBER           segments of the log, in order
//	snapshot-INDEX       the newest snapshot
//	lock                 held while a process uses the folder
//
// A segment is a header with a random salt, then frames. A frame is a mark, the payload's length and a
// CRC-32C over salt, length and payload, then the payload. At most one frame is written and not synced at
// a time, so a frame that doesn't check is a torn tail only if no frame that checks comes after it.
package journal
