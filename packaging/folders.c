/* The folders that copies are unpacked into, and the locks that share them.
 *
 * A folder is named by user and content. Each process holds a shared lock on its own
 * for life, through a descriptor that execv() passes on; whoever gets the exclusive
 * lock knows that nobody uses a folder and may remove it. A folder appears under its
 * final name by one rename(), whole.
 */

#define _GNU_SOURCE
#include "launcher.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#define ATTEMPTS 8

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

void sweep(const char *base, const char *kept)
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

int attach(const char *path, enum check check)
{
    int folder = lock_folder(path, LOCK_SH);
    if (folder >= 0 && !is_whole(folder, check)) {
        close(folder);
        folder = -1;
    }
    return folder;
}

int unpack_aside(const char *final, char *path)
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

int settle(const char *final, char *path, int folder, enum check check)
{
    for (int attempt = 0; attempt < 2; attempt++) {
        if (rename(path, final) == 0) {
            strcpy(path, final);
            return folder;
        }
        int other = attach(final, check);
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
