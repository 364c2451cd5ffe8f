/* What the parts of the launcher share: the payload, the folders, how to fail. */

#ifndef LAUNCHER_H
#define LAUNCHER_H

#include <stdint.h>

#define PROGRAM "mallowpass"
#define HASH_SIZE 32

/* Codes of docs/ERRORS.md; a test keeps both lists the same. */
#define BINARY_DAMAGED "MP-8001"
#define NO_UNPACK_FOLDER "MP-8002"
#define UNPACK_FOLDER_UNUSABLE "MP-8003"
#define BINARY_UNREADABLE "MP-8004"
#define START_REFUSED "MP-8005"

/* How much of a copy is looked at before it is run. */
enum check { CHECK_SIZES, CHECK_CONTENT };

struct footer {
    char magic[8];
    char hash[HASH_SIZE];
    uint64_t start;
    uint64_t unpacked;
    uint64_t entries;
} __attribute__((packed));

/* Say what is wrong and end with code 1. */
void fail(const char *code, const char *what, const char *where);

/* -- payload.c */

/* Map the program's own file; fail if it is cut off. */
const struct footer *open_payload(void);

/* Write all entries into an empty folder; return whether that went well. */
int unpack(int folder);

/* Tell whether a folder holds all entries, as ours alone. */
int is_whole(int folder, enum check check);

/* -- folders.c */

/* Open a copy that is ours and whole, locked against removal; -1 if it isn't. */
int attach(const char *path, enum check check);

/* Unpack into a folder of our own; its name goes to `path`; -1 if that fails. */
int unpack_aside(const char *final, char *path);

/* Give the unpacked folder its final name, or take the one that was faster. */
int settle(const char *final, char *path, int folder, enum check check);

/* Remove what dead processes and replaced versions left in `base`, but `kept`. */
void sweep(const char *base, const char *kept);

#endif
