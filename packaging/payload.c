/* The payload behind the launcher: reading it, unpacking it, comparing a copy with it.
 *
 * build_binary.py describes the layout and writes it.
 */

#define _GNU_SOURCE
#include "launcher.h"

#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdio.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

#define MAGIC "MALLOWP1"
#define BLOCK_LIMIT (4u << 20)

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
static uint8_t buffer[BLOCK_LIMIT]; /* a block as decoded */
static uint8_t found[BLOCK_LIMIT];  /* what a copy has in its place */

/* -- Reading */

const struct footer *open_payload(void)
{
    struct stat status;
    int file = open("/proc/self/exe", O_RDONLY | O_CLOEXEC);
    if (file < 0 || fstat(file, &status) != 0)
        fail(BINARY_UNREADABLE, "cannot read its own file through /proc",
             strerror(errno));
    uint64_t size = (uint64_t)status.st_size;
    void *mapped = mmap(NULL, size, PROT_READ, MAP_PRIVATE, file, 0);
    if (mapped == MAP_FAILED)
        fail(BINARY_UNREADABLE, "cannot map its own file", strerror(errno));
    close(file);
    image = mapped;
    if (size < sizeof *footer)
        fail(BINARY_DAMAGED, "the file is cut off: copy it again", NULL);
    footer = (const struct footer *)(image + size - sizeof *footer);
    /* A file cut off in a copy would otherwise fail later and less clearly. */
    if (memcmp(footer->magic, MAGIC, sizeof footer->magic) != 0 ||
        footer->start > size - sizeof *footer)
        fail(BINARY_DAMAGED, "the file is cut off or changed: copy it again", NULL);
    return footer;
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
        fail(BINARY_DAMAGED, "the payload is damaged: copy the file again", NULL);
    memcpy(entry, cursor->at, sizeof *entry);
    cursor->at += sizeof *entry;
    uint64_t rest = (uint64_t)(cursor->end - cursor->at);
    if (entry->path_size >= PATH_MAX || entry->path_size > rest ||
        entry->packed > rest - entry->path_size)
        fail(BINARY_DAMAGED, "the payload is damaged: copy the file again", NULL);
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

/* Return the block that starts at `*data` as it was packed, or decoded into `buffer`;
 * its size goes to `size`. */
static const uint8_t *next_block(const uint8_t **data, const uint8_t *end,
                                 uint8_t *buffer, size_t *size, const char *path)
{
    struct block block;
    if ((size_t)(end - *data) < sizeof block)
        fail(BINARY_DAMAGED, "the payload is damaged: copy the file again", path);
    memcpy(&block, *data, sizeof block);
    const uint8_t *raw = *data + sizeof block;
    if (block.size > BLOCK_LIMIT || block.packed > (uint64_t)(end - raw))
        fail(BINARY_DAMAGED, "the payload is damaged: copy the file again", path);
    *data = raw + block.packed;
    *size = block.size;
    if (block.packed == block.size)
        return raw;
    if (!decode(raw, block.packed, buffer, block.size))
        fail(BINARY_DAMAGED, "the payload is damaged: copy the file again", path);
    return buffer;
}

static int unpack_file(int folder, const char *path, const struct entry *entry,
                       const uint8_t *data)
{
    mode_t mode = entry->executable ? 0700 : 0600;
    int file = openat(folder, path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode);
    if (file < 0)
        return 0;
    const uint8_t *end = data + entry->packed;
    int whole = 1;
    while (whole && data < end) {
        size_t size;
        const uint8_t *raw = next_block(&data, end, buffer, &size, path);
        whole = write_all(file, raw, size);
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
        fail(BINARY_DAMAGED, "the payload is damaged: copy the file again", path);
    memcpy(target, data, entry->packed);
    target[entry->packed] = '\0';
    return symlinkat(target, folder, path) == 0;
}

int unpack(int folder)
{
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
            done = unpack_file(folder, path, &entry, data);
    }
    return done;
}

/* -- Looking at a copy before it is run */

/* Read until `size` bytes are there or the file ends; return how many came. */
static size_t read_all(int file, uint8_t *data, size_t size)
{
    size_t done = 0;
    while (done < size) {
        ssize_t got = read(file, data + done, size - done);
        if (got < 0 && errno == EINTR)
            continue;
        if (got <= 0)
            break;
        done += (size_t)got;
    }
    return done;
}

static int has_content(int folder, const char *path, const struct entry *entry,
                       const uint8_t *data)
{
    int file = openat(folder, path, O_RDONLY | O_NOFOLLOW | O_CLOEXEC);
    const uint8_t *end = data + entry->packed;
    int same = file >= 0;
    while (same && data < end) {
        size_t size;
        const uint8_t *raw = next_block(&data, end, buffer, &size, path);
        same = read_all(file, found, size) == size && memcmp(raw, found, size) == 0;
    }
    if (file >= 0)
        close(file);
    return same;
}

static int has_target(int folder, const char *path, const struct entry *entry,
                      const uint8_t *data)
{
    char target[PATH_MAX];
    ssize_t size = readlinkat(folder, path, target, sizeof target);
    return size >= 0 && (uint64_t)size == entry->packed &&
           memcmp(target, data, (size_t)size) == 0;
}

/* The kind, the size and who may write, without opening the file. */
static int has_status(int folder, const char *path, const struct entry *entry)
{
    struct stat status;
    if (fstatat(folder, path, &status, AT_SYMLINK_NOFOLLOW) != 0 ||
        status.st_uid != geteuid())
        return 0;
    if (entry->kind == 'l')
        return S_ISLNK(status.st_mode);
    if (status.st_mode & (S_IWGRP | S_IWOTH))
        return 0;
    if (entry->kind == 'd')
        return S_ISDIR(status.st_mode);
    return S_ISREG(status.st_mode) && (uint64_t)status.st_size == entry->size &&
           (!entry->executable || status.st_mode & S_IXUSR);
}

/* Something may have cleaned the folder by age. On a disk, a loss of power may also
 * leave files that have their size and not their content: a start would end in the
 * middle of an import, or run what is left. So the whole content is compared there. In
 * memory nothing outlives a loss of power, and the comparison would make 448 ms of
 * processor time out of 193 (medians of 15 starts of --version). */
int is_whole(int folder, enum check check)
{
    struct cursor cursor = first_entry();
    struct entry entry;
    char path[PATH_MAX];
    const uint8_t *data;
    while (next_entry(&cursor, &entry, path, &data)) {
        if (!has_status(folder, path, &entry))
            return 0;
        if (check == CHECK_SIZES || entry.kind == 'd')
            continue;
        if (entry.kind == 'l' ? !has_target(folder, path, &entry, data)
                              : !has_content(folder, path, &entry, data))
            return 0;
    }
    return 1;
}
