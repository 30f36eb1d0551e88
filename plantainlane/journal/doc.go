// Package journal stores a replica's log, hard state and snapshots durably in one data folder.
//
// One goroutine writes. Batches that are queued while it syncs are written together as one frame and made durable by
// one sync (group commit); they are then reported as synced. After the first failed write or sync nothing is reported
// as synced again, since the content of the files is then unknown.
//
// The folder holds:
//
//	replica              identity: the format version and the replica ID, written when the folder is first opened
//	log-NUMBER           segments of the log, in order
//	snapshot-INDEX       the newest snapshot
//	lock                 locked (flock) while a process uses the folder
//	temporary            a file that is being written, before it is renamed to its name above
//
// A segment is a header with a random salt, followed by frames. A snapshot and the identity are a header and one frame.
// A frame is a magic number, the length of the payload, a CRC-32C over salt, length and payload, and the payload. At
// most one frame at a time is written but not yet synced. In the newest segment an invalid frame is therefore an
// incomplete write (a torn tail) if no valid frame follows it, and so is an invalid header without bytes after it.
// Every other invalid frame or header is damage.
package journal
