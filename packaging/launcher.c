/* The front of dist/mallowpass: unpack the program, then become it.
 *
 * The payload (an interpreter with all its modules) follows this program in the same
 * file. Unpacking happens in this very process and execv() keeps its process id, so
 * there is never a child. A memory file system is preferred; without one the copy is
 * kept in the user's cache folder, or in /var/tmp.
 */

#define _GNU_SOURCE
#include "launcher.h"

#include <errno.h>
#include <limits.h>
#include <linux/magic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/statvfs.h>
#include <sys/vfs.h>
#include <unistd.h>

#define FOLDER_VARIABLE "MALLOWPASS_UNPACK_DIR"
#define SPARE_BYTES (4u << 20)
/* Tests compile the launcher with a folder of their own in place of the root. */
#ifndef SYSTEM_ROOT
#define SYSTEM_ROOT ""
#endif

static const struct footer *payload;

void fail(const char *code, const char *what, const char *where)
{
    fprintf(stderr, PROGRAM ": %s %s%s%s\n", code, what, where ? ": " : "",
            where ? where : "");
    exit(1);
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
           payload->unpacked + SPARE_BYTES;
}

/* In a folder that others may write to, without the sticky bit, they could exchange a
 * copy after it was looked at; the owner of a folder always can. */
static int is_guarded(const char *base)
{
    struct stat status;
    return stat(base, &status) == 0 && S_ISDIR(status.st_mode) &&
           (status.st_uid == geteuid() || status.st_uid == 0) &&
           (!(status.st_mode & (S_IWGRP | S_IWOTH)) || status.st_mode & S_ISVTX);
}

static unsigned long long needed_megabytes(void)
{
    return (unsigned long long)(payload->unpacked + SPARE_BYTES) >> 20;
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
        fail(START_REFUSED, "cannot set LD_LIBRARY_PATH (too long?)", given);
}

/* Become the program if this folder will do; return otherwise. */
static void run_from(const char *base, char **arguments, int announced)
{
    char final[PATH_MAX - 16], path[PATH_MAX], program[PATH_MAX + 16];
    if (!may_execute(base))
        return;
    if (snprintf(final, sizeof final, "%s/" PROGRAM "-%ld-%.*s", base,
                 (long)geteuid(), HASH_SIZE, payload->hash) >= (int)sizeof final)
        return;
    enum check check = has_memory(base) ? CHECK_SIZES : CHECK_CONTENT;
    strcpy(path, final);
    int folder = attach(final, check);
    if (folder < 0) {
        if (!has_room(base))
            return;
        folder = unpack_aside(final, path);
        if (folder < 0)
            return;
        folder = settle(final, path, folder, check);
    }
    sweep(base, path);
    offer_libraries(path);
    if (announced)
        fprintf(stderr,
                PROGRAM ": no memory file system has %llu MB free, runs from %s\n",
                needed_megabytes(), path);
    snprintf(program, sizeof program, "%s/" PROGRAM, path);
    execv(program, arguments);
    fail(START_REFUSED, "cannot start what was unpacked", strerror(errno));
}

static void run_from_memory(char **arguments)
{
    char user[sizeof SYSTEM_ROOT + 64];
    snprintf(user, sizeof user, SYSTEM_ROOT "/run/user/%ld", (long)geteuid());
    const char *bases[] = {getenv("XDG_RUNTIME_DIR"), user, SYSTEM_ROOT "/run",
                           SYSTEM_ROOT "/tmp"};
    for (size_t i = 0; i < sizeof bases / sizeof *bases; i++)
        if (bases[i] != NULL && *bases[i] != '\0' && has_memory(bases[i]))
            run_from(bases[i], arguments, 0);
}

/* Put the user's cache folder into `path`; return whether there is one. */
static int cache_folder(char *path)
{
    const char *cache = getenv("XDG_CACHE_HOME");
    const char *home = getenv("HOME");
    int size = -1;
    /* A relative path would be another folder for each working directory. */
    if (cache != NULL && *cache == '/')
        size = snprintf(path, PATH_MAX, "%s", cache);
    else if (home != NULL && *home == '/')
        size = snprintf(path, PATH_MAX, "%s/.cache", home);
    return size >= 0 && size < PATH_MAX;
}

/* Make a folder that isn't there yet, unless it would be in somebody else's: started by
 * root with another user's variables, that user would get a cache folder of root's. */
static void make_in_own(const char *path)
{
    char parent[PATH_MAX];
    strcpy(parent, path);
    *strrchr(parent, '/') = '\0';
    if (is_guarded(*parent != '\0' ? parent : "/"))
        (void)mkdir(path, 0700); /* it may be there */
}

static void run_from_disk(char **arguments)
{
    char cache[PATH_MAX];
    if (cache_folder(cache)) {
        make_in_own(cache);
        if (is_guarded(cache))
            run_from(cache, arguments, 1);
    }
    if (is_guarded(SYSTEM_ROOT "/var/tmp"))
        run_from(SYSTEM_ROOT "/var/tmp", arguments, 1);
}

int main(int count, char **arguments)
{
    (void)count;
    payload = open_payload();
    const char *chosen = getenv(FOLDER_VARIABLE);
    if (chosen != NULL && *chosen != '\0') {
        run_from(chosen, arguments, 0);
        fail(UNPACK_FOLDER_UNUSABLE, "cannot unpack into " FOLDER_VARIABLE
             " (writable, not noexec, with room?)", chosen);
    }
    run_from_memory(arguments);
    run_from_disk(arguments);
    char what[256];
    snprintf(what, sizeof what,
             "no folder is writable, guarded from others, not noexec and has %llu MB "
             "free: name one in " FOLDER_VARIABLE, needed_megabytes());
    fail(NO_UNPACK_FOLDER, what, "tried $XDG_RUNTIME_DIR, /run/user/UID, /run, /tmp "
         "in memory; $XDG_CACHE_HOME or ~/.cache, /var/tmp on a disk");
}
