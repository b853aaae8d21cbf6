/* System calls that fail on purpose, for tests: preloaded into a process by tests/system_faults.py.
 *
 * FAULT_RATE_FILE: two numbers of four bytes, mapped and shared with the test: how many of a thousand calls fail
 * now. First, writes and syncs of regular files: they fail (EIO, ENOSPC) or, for writes, end after half of the
 * bytes; descriptors 0 to 2 never fail. Second, accepts: they fail with errors that accept(2) names.
 * CLOCK_OFFSET_S: seconds by which the wall clock is ahead; clocks of elapsed time are not changed.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum fault { NO_FAULT, FAILED, HALF_DONE };
enum rate { FILE_RATE, ACCEPT_RATE, RATES };

static const int accept_errors[] = {EPERM,        EPROTO,     ENETDOWN,  EHOSTUNREACH, ENETUNREACH, ETIMEDOUT,
                                    ENOPROTOOPT, EOPNOTSUPP, EHOSTDOWN, ENONET,       ECONNABORTED};

static const volatile uint32_t *failing_per_thousand;
static long long clock_offset_s;
static uint64_t random_state;

__attribute__((constructor)) static void read_settings(void) {
    const char *path = getenv("FAULT_RATE_FILE");
    const char *offset = getenv("CLOCK_OFFSET_S");
    random_state = 0x9E3779B97F4A7C15u ^ (uint64_t)getpid();
    if (offset != NULL)
        clock_offset_s = atoll(offset);
    if (path == NULL)
        return;
    int descriptor = open(path, O_RDONLY | O_CLOEXEC);
    void *mapped = mmap(NULL, RATES * sizeof(uint32_t), PROT_READ, MAP_SHARED, descriptor, 0);
    if (descriptor < 0 || mapped == MAP_FAILED)
        abort();
    close(descriptor);
    failing_per_thousand = mapped;
}

static uint32_t next_random(void) {
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return (uint32_t)(random_state >> 32);
}

static int is_failing(enum rate rate) {
    return failing_per_thousand != NULL && next_random() % 1000 < failing_per_thousand[rate];
}

static enum fault fault_of(int descriptor, int can_be_half_done) {
    struct stat status;
    if (descriptor <= 2 || !is_failing(FILE_RATE))
        return NO_FAULT;
    if (fstat(descriptor, &status) != 0 || !S_ISREG(status.st_mode))
        return NO_FAULT;
    uint32_t choice = next_random() % 3;
    if (choice == 0 && can_be_half_done)
        return HALF_DONE;
    errno = choice == 1 ? ENOSPC : EIO;
    return FAILED;
}

#define NEXT(type, name) ((type)dlsym(RTLD_NEXT, name))

ssize_t write(int descriptor, const void *data, size_t size) {
    enum fault fault = fault_of(descriptor, size > 1);
    if (fault == FAILED)
        return -1;
    return NEXT(ssize_t (*)(int, const void *, size_t), "write")(descriptor, data, fault == HALF_DONE ? size / 2 : size);
}

ssize_t pwrite64(int descriptor, const void *data, size_t size, off64_t offset) {
    enum fault fault = fault_of(descriptor, size > 1);
    if (fault == FAILED)
        return -1;
    size_t taken = fault == HALF_DONE ? size / 2 : size;
    return NEXT(ssize_t (*)(int, const void *, size_t, off64_t), "pwrite64")(descriptor, data, taken, offset);
}

ssize_t pwrite(int descriptor, const void *data, size_t size, off_t offset) {
    return pwrite64(descriptor, data, size, offset);
}

int fsync(int descriptor) {
    if (fault_of(descriptor, 0) == FAILED)
        return -1;
    return NEXT(int (*)(int), "fsync")(descriptor);
}

int fdatasync(int descriptor) {
    if (fault_of(descriptor, 0) == FAILED)
        return -1;
    return NEXT(int (*)(int), "fdatasync")(descriptor);
}

/* The connection stays in the queue, as after a real error that concerns another one. */
int accept4(int descriptor, struct sockaddr *restrict address, socklen_t *restrict size, int flags) {
    if (is_failing(ACCEPT_RATE)) {
        errno = accept_errors[next_random() % (sizeof accept_errors / sizeof *accept_errors)];
        return -1;
    }
    return NEXT(int (*)(int, struct sockaddr *, socklen_t *, int), "accept4")(descriptor, address, size, flags);
}

int accept(int descriptor, struct sockaddr *restrict address, socklen_t *restrict size) {
    return accept4(descriptor, address, size, 0);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    int result = NEXT(int (*)(clockid_t, struct timespec *), "clock_gettime")(clock, time);
    if (result == 0 && clock == CLOCK_REALTIME)
        time->tv_sec += clock_offset_s;
    return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone) {
    int result = NEXT(int (*)(struct timeval *, void *), "gettimeofday")(time, zone);
    if (result == 0)
        time->tv_sec += clock_offset_s;
    return result;
}

time_t time(time_t *out) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (out != NULL)
        *out = now.tv_sec;
    return now.tv_sec;
}
