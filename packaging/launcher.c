/* The front of dist/mallowpass: unpack the program into memory, then become it.
 *
 * The payload (an interpreter with all its modules) follows this program in the same
 * file; packaging/build_binary.py describes its layout. Unpacking happens in this
 * very process and execv() keeps its process id, so there is never a child.
 *
 * The unpacked folder is named by user and content and shared by all processes of
 * that content. Each holds a shared lock on it for life, through a descriptor that
 * execv() passes on; whoever gets the exclusive lock knows that nobody uses a folder
 * and may remove it. A folder appears under its final name by one rename(), whole.
 */

#define _GNU_SOURCE
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <linux/magic.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <sys/statvfs.h>
#include <sys/vfs.h>
#include <unistd.h>

#define MAGIC "MALLOWP1"
#define HASH_SIZE 32
#define PROGRAM "mallowpass"
#define FOLDER_VARIABLE "MALLOWPASS_UNPACK_DIR"
#define SPARE_BYTES (4u << 20)
#define BLOCK_LIMIT (4u << 20)
#define ATTEMPTS 8

struct footer {
    char magic[8];
    char hash[HASH_SIZE];
    uint64_t start;
    uint64_t unpacked;
    uint64_t entries;
} __attribute__((packed));

struct entry {
    uint8_t kind; /* 'd' folder, 'f' file, 'l' symbolic link */
    uint8_t executable;
    uint16_t path_size;
    uint64_t size;
    uint64_t packed;
} __attribute__((packed));

struct block {
    uint32_t size;
    uint32_t packed; /* equal to size: stored as it is */
} __attribute__((packed));

struct cursor {
    const uint8_t *at;
    const uint8_t *end;
    uint64_t left;
};

static const uint8_t *image;
static const struct footer *footer;

/* -- The payload */

static void fail(const char *what, const char *where)
{
    fprintf(stderr, "mallowpass: %s%s%s\n", what, where ? ": " : "",
            where ? where : "");
    exit(1);
}

static void open_payload(void)
{
    struct stat status;
    int file = open("/proc/self/exe", O_RDONLY | O_CLOEXEC);
    if (file < 0 || fstat(file, &status) != 0)
        fail("cannot read its own file through /proc", strerror(errno));
    uint64_t size = (uint64_t)status.st_size;
    void *mapped = mmap(NULL, size, PROT_READ, MAP_PRIVATE, file, 0);
    if (mapped == MAP_FAILED)
        fail("cannot map its own file", strerror(errno));
    close(file);
    image = mapped;
    if (size < sizeof *footer)
        fail("the file is cut off: copy it again", NULL);
    footer = (const struct footer *)(image + size - sizeof *footer);
    /* A file cut off in a copy would otherwise fail later and less clearly. */
    if (memcmp(footer->magic, MAGIC, sizeof footer->magic) != 0 ||
        footer->start > size - sizeof *footer)
        fail("the file is cut off or changed: copy it again", NULL);
}

static struct cursor first_entry(void)
{
    struct cursor cursor = {image + footer->start, (const uint8_t *)footer,
                            footer->entries};
    return cursor;
}

/* Take the next entry; its path goes to `path`, its packed data to `data`. */
static int next_entry(struct cursor *cursor, struct entry *entry, char *path,
                      const uint8_t **data)
{
    if (cursor->left == 0)
        return 0;
    if ((size_t)(cursor->end - cursor->at) < sizeof *entry)
        fail("the payload is damaged: copy the file again", NULL);
    memcpy(entry, cursor->at, sizeof *entry);
    cursor->at += sizeof *entry;
    uint64_t rest = (uint64_t)(cursor->end - cursor->at);
    if (entry->path_size >= PATH_MAX || entry->path_size > rest ||
        entry->packed > rest - entry->path_size)
        fail("the payload is damaged: copy the file again", NULL);
    memcpy(path, cursor->at, entry->path_size);
    path[entry->path_size] = '\0';
    *data = cursor->at + entry->path_size;
    cursor->at = *data + entry->packed;
    cursor->left--;
    return 1;
}

/* Read a length that continues in further bytes (LZ4 block format). */
static int long_length(const uint8_t **in, const uint8_t *in_end, size_t *length)
{
    uint8_t byte;
    do {
        if (*in == in_end)
            return 0;
        byte = *(*in)++;
        *length += byte;
    } while (byte == 255);
    return 1;
}

/* Decode one LZ4 block; return whether it gave exactly `size` bytes. */
static int decode(const uint8_t *in, size_t packed, uint8_t *out, size_t size)
{
    const uint8_t *in_end = in + packed;
    size_t done = 0;
    while (in < in_end) {
        uint8_t token = *in++;
        size_t literals = token >> 4;
        if (literals == 15 && !long_length(&in, in_end, &literals))
            return 0;
        if (literals > (size_t)(in_end - in) || literals > size - done)
            return 0;
        memcpy(out + done, in, literals);
        in += literals;
        done += literals;
        if (in == in_end)
            break; /* the last sequence has no match */
        if (in_end - in < 2)
            return 0;
        size_t offset = in[0] | (size_t)in[1] << 8;
        in += 2;
        size_t match = token & 15;
        if (match == 15 && !long_length(&in, in_end, &match))
            return 0;
        match += 4;
        if (offset == 0 || offset > done || match > size - done)
            return 0;
        const uint8_t *from = out + done - offset;
        if (offset >= match) {
            memcpy(out + done, from, match);
        } else {
            /* The source overlaps what is being written: one byte at a time. */
            for (size_t i = 0; i < match; i++)
                out[done + i] = from[i];
        }
        done += match;
    }
    return done == size;
}

/* -- Unpacking */

static int write_all(int file, const uint8_t *data, size_t size)
{
    while (size > 0) {
        ssize_t written = write(file, data, size);
        if (written < 0 && errno == EINTR)
            continue;
        if (written < 0)
            return 0;
        data += written;
        size -= (size_t)written;
    }
    return 1;
}

static int unpack_file(int folder, const char *path, const struct entry *entry,
                       const uint8_t *data, uint8_t *buffer)
{
    mode_t mode = entry->executable ? 0700 : 0600;
    int file = openat(folder, path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode);
    if (file < 0)
        return 0;
    const uint8_t *end = data + entry->packed;
    int whole = 1;
    while (whole && data < end) {
        struct block block;
        memcpy(&block, data, sizeof block);
        data += sizeof block;
        if (block.size > BLOCK_LIMIT || block.packed > (uint64_t)(end - data))
            fail("the payload is damaged: copy the file again", path);
        const uint8_t *raw = data;
        if (block.packed != block.size) {
            if (!decode(data, block.packed, buffer, block.size))
                fail("the payload is damaged: copy the file again", path);
            raw = buffer;
        }
        whole = write_all(file, raw, block.size);
        data += block.packed;
    }
    int saved = errno;
    close(file);
    errno = saved;
    return whole;
}

static int unpack_link(int folder, const char *path, const struct entry *entry,
                       const uint8_t *data)
{
    char target[PATH_MAX];
    if (entry->packed >= sizeof target)
        fail("the payload is damaged: copy the file again", path);
    memcpy(target, data, entry->packed);
    target[entry->packed] = '\0';
    return symlinkat(target, folder, path) == 0;
}

static int unpack(int folder)
{
    static uint8_t buffer[BLOCK_LIMIT];
    struct cursor cursor = first_entry();
    struct entry entry;
    char path[PATH_MAX];
    const uint8_t *data;
    int done = 1;
    while (done && next_entry(&cursor, &entry, path, &data)) {
        if (entry.kind == 'd')
            done = mkdirat(folder, path, 0700) == 0;
        else if (entry.kind == 'l')
            done = unpack_link(folder, path, &entry, data);
        else
            done = unpack_file(folder, path, &entry, data, buffer);
    }
    return done;
}

/* Something may have cleaned the memory file system by age: look before use. */
static int is_whole(int folder)
{
    struct cursor cursor = first_entry();
    struct entry entry;
    struct stat status;
    char path[PATH_MAX];
    const uint8_t *data;
    while (next_entry(&cursor, &entry, path, &data)) {
        if (fstatat(folder, path, &status, AT_SYMLINK_NOFOLLOW) != 0)
            return 0;
        if (entry.kind == 'f' && (uint64_t)status.st_size != entry.size)
            return 0;
    }
    return 1;
}

/* -- Folders and their locks */

static void remove_tree(int parent, const char *name)
{
    int folder = openat(parent, name, O_RDONLY | O_DIRECTORY | O_NOFOLLOW | O_CLOEXEC);
    DIR *listing = folder < 0 ? NULL : fdopendir(folder);
    if (listing != NULL) {
        struct dirent *item;
        while ((item = readdir(listing)) != NULL) {
            if (strcmp(item->d_name, ".") == 0 || strcmp(item->d_name, "..") == 0)
                continue;
            if (unlinkat(folder, item->d_name, 0) != 0)
                remove_tree(folder, item->d_name);
        }
        closedir(listing);
    }
    unlinkat(parent, name, AT_REMOVEDIR);
}

/* Open and lock a folder of ours; -1 if it isn't there, not ours or locked. The path
 * is looked at again after locking: it may have been renamed away in between. */
static int lock_folder(const char *path, int operation)
{
    struct stat opened, named;
    int folder = open(path, O_RDONLY | O_DIRECTORY | O_NOFOLLOW);
    if (folder < 0)
        return -1;
    if (fstat(folder, &opened) == 0 && opened.st_uid == geteuid() &&
        (opened.st_mode & 077) == 0 && flock(folder, operation | LOCK_NB) == 0 &&
        lstat(path, &named) == 0 && named.st_ino == opened.st_ino &&
        named.st_dev == opened.st_dev)
        return folder;
    close(folder);
    return -1;
}

/* Remove a folder that no process uses; do nothing otherwise. */
static void reclaim(const char *path)
{
    int folder = lock_folder(path, LOCK_EX);
    if (folder < 0)
        return;
    char gone[PATH_MAX];
    snprintf(gone, sizeof gone, "%s.gone.%ld", path, (long)getpid());
    /* Away from its name first, so that nobody attaches to half a folder. */
    if (rename(path, gone) == 0)
        remove_tree(AT_FDCWD, gone);
    close(folder);
}

/* Remove what dead processes and replaced versions left. */
static void sweep(const char *base, const char *kept)
{
    char prefix[64], path[PATH_MAX];
    snprintf(prefix, sizeof prefix, PROGRAM "-%ld-", (long)geteuid());
    DIR *listing = opendir(base);
    if (listing == NULL)
        return;
    struct dirent *item;
    while ((item = readdir(listing)) != NULL) {
        if (strncmp(item->d_name, prefix, strlen(prefix)) != 0)
            continue;
        int size = snprintf(path, sizeof path, "%s/%s", base, item->d_name);
        if (size < (int)sizeof path && strcmp(path, kept) != 0)
            reclaim(path);
    }
    closedir(listing);
}

static int attach(const char *path)
{
    int folder = lock_folder(path, LOCK_SH);
    if (folder >= 0 && !is_whole(folder)) {
        close(folder);
        folder = -1;
    }
    return folder;
}

/* Unpack into a folder of our own; its name goes to `path`. */
static int unpack_aside(const char *final, char *path)
{
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
        if (snprintf(path, PATH_MAX, "%s.XXXXXX", final) >= PATH_MAX ||
            mkdtemp(path) == NULL)
            return -1;
        /* A sweep may take the folder before it is locked: then make another. */
        int folder = lock_folder(path, LOCK_SH);
        if (folder < 0)
            continue;
        if (unpack(folder))
            return folder;
        int saved = errno;
        remove_tree(AT_FDCWD, path);
        close(folder);
        errno = saved;
        return -1;
    }
    return -1;
}

/* Give the unpacked folder its final name, or take the one that was faster. */
static int settle(const char *final, char *path, int folder)
{
    for (int attempt = 0; attempt < 2; attempt++) {
        if (rename(path, final) == 0) {
            strcpy(path, final);
            return folder;
        }
        int other = attach(final);
        if (other >= 0) {
            remove_tree(AT_FDCWD, path);
            close(folder);
            strcpy(path, final);
            return other;
        }
        reclaim(final); /* damaged and not in use: out of the way */
    }
    return folder; /* damaged but in use, or another user's: run from our own */
}

/* -- Choice of the file system */

static int has_memory(const char *base)
{
    struct statfs kind;
    if (statfs(base, &kind) != 0)
        return 0;
    return kind.f_type == TMPFS_MAGIC || kind.f_type == RAMFS_MAGIC;
}

/* Where programs may not be run from, libraries can't be loaded from either. */
static int may_execute(const char *base)
{
    struct statvfs status;
    return statvfs(base, &status) == 0 && !(status.f_flag & ST_NOEXEC) &&
           access(base, W_OK | X_OK) == 0;
}

static int has_room(const char *base)
{
    struct statvfs status;
    struct statfs kind;
    if (statvfs(base, &status) != 0 || statfs(base, &kind) != 0)
        return 0;
    if (kind.f_type == RAMFS_MAGIC || status.f_blocks == 0)
        return 1; /* no limit of its own */
    return (uint64_t)status.f_bavail * status.f_frsize >=
           footer->unpacked + SPARE_BYTES;
}

/* The program's own loader needs a library (libz) before it can point the dynamic
 * linker at the unpacked ones itself: without this, a bare host would have to have it.
 */
static void offer_libraries(const char *path)
{
    char folders[2 * PATH_MAX];
    const char *given = getenv("LD_LIBRARY_PATH");
    int more = given != NULL && *given != '\0';
    int size = snprintf(folders, sizeof folders, "%s/_internal%s%s", path,
                        more ? ":" : "", more ? given : "");
    if (size >= (int)sizeof folders || setenv("LD_LIBRARY_PATH", folders, 1) != 0)
        fail("cannot set LD_LIBRARY_PATH (too long?)", given);
}

/* Become the program if this file system will do; return otherwise. */
static void run_from(const char *base, char **arguments)
{
    char final[PATH_MAX - 16], path[PATH_MAX], program[PATH_MAX + 16];
    if (!may_execute(base))
        return;
    if (snprintf(final, sizeof final, "%s/" PROGRAM "-%ld-%.*s", base,
                 (long)geteuid(), HASH_SIZE, footer->hash) >= (int)sizeof final)
        return;
    strcpy(path, final);
    int folder = attach(final);
    if (folder < 0) {
        if (!has_room(base))
            return;
        folder = unpack_aside(final, path);
        if (folder < 0)
            return;
        folder = settle(final, path, folder);
    }
    sweep(base, path);
    offer_libraries(path);
    snprintf(program, sizeof program, "%s/" PROGRAM, path);
    execv(program, arguments);
    fail("cannot start what was unpacked", strerror(errno));
}

int main(int count, char **arguments)
{
    (void)count;
    open_payload();
    const char *chosen = getenv(FOLDER_VARIABLE);
    if (chosen != NULL && *chosen != '\0') {
        run_from(chosen, arguments);
        fail("cannot unpack into " FOLDER_VARIABLE " (writable, not noexec, with "
             "room?)", chosen);
    }
    char user[64];
    snprintf(user, sizeof user, "/run/user/%ld", (long)geteuid());
    const char *bases[] = {getenv("XDG_RUNTIME_DIR"), user, "/run",
                           "/tmp"};
    for (size_t i = 0; i < sizeof bases / sizeof *bases; i++)
        if (bases[i] != NULL && *bases[i] != '\0' && has_memory(bases[i]))
            run_from(bases[i], arguments);
    fprintf(stderr,
            "mallowpass: no memory file system (XDG_RUNTIME_DIR, %s, /run, "
            "/tmp) is writable, not noexec and has %llu MB free: mount one, or name "
            "a folder in " FOLDER_VARIABLE "\n",
            user, (unsigned long long)((footer->unpacked + SPARE_BYTES) >> 20));
    return 1;
}
