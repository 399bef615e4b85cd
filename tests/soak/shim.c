/* Preloaded into a gateway by the fault tests, never by `run`: steps the wall clock, and makes system calls on
 * stream sockets and on files fail or process only a part, as Linux documents.
 *
 * SHIM_CONTROL names a file of 64-bit integers that the test writes while the process runs:
 *   [0]       added to CLOCK_REALTIME, ns
 *   [1 + 2i]  calls of operation i that fail, in 10,000
 *   [2 + 2i]  calls of operation i that fail next, whatever the rate; counted down
 *   then      the number of writes to sockets that this process connected before which the process was stopped for
 *             over HELD_NS since it last read the clock, and the monotonic times of the newest of them, ns
 * Fatal errors of reads and writes are injected only on sockets that this process connected: on an accepted one they
 * would mean a client that has disconnected.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum operation { ACCEPT, CONNECT, SOCKET, READ, WRITE, EPOLL, FSYNC, BIND, DISK, OPERATIONS };

#define HELD_WRITES (1 + 2 * OPERATIONS)
#define HELD_KEPT 32
#define HELD_NS 150000000
#define WORDS (HELD_WRITES + 1 + HELD_KEPT)
#define DESCRIPTORS 4096

static _Atomic int64_t *control;
static unsigned int seed = 1;
static unsigned char outgoing[DESCRIPTORS];
static _Thread_local int64_t looked_ns; /* the monotonic time that this thread last read */

__attribute__((constructor)) static void start(void) {
    const char *path = getenv("SHIM_CONTROL"), *text = getenv("SHIM_SEED");
    if (text) seed = (unsigned int)strtoul(text, NULL, 10);
    if (!path) return;
    int fd = open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0) return;
    void *page = mmap(NULL, WORDS * sizeof(int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (page != MAP_FAILED) control = page;
}

/* Checked first: a call that is not to fail must not take longer, as the gateway is judged by its timing. */
static int armed(enum operation what) {
    return control && (atomic_load(&control[1 + 2 * what]) > 0 || atomic_load(&control[2 + 2 * what]) > 0);
}

static int strikes(enum operation what) {
    if (!armed(what)) return 0;
    if (atomic_load(&control[2 + 2 * what]) > 0 && atomic_fetch_sub(&control[2 + 2 * what], 1) > 0) return 1;
    int64_t rate = atomic_load(&control[1 + 2 * what]);
    return rate > 0 && rand_r(&seed) % 10000 < rate;
}

static int fail(const int *errors, size_t count) {
    errno = errors[(size_t)rand_r(&seed) % count];
    return -1;
}

#define FAIL(...) fail((const int[]){__VA_ARGS__}, sizeof((const int[]){__VA_ARGS__}) / sizeof(int))
#define REAL(name) static __typeof__(name) *real; if (!real) real = (__typeof__(name) *)dlsym(RTLD_NEXT, #name)

static int streams(int fd) {
    int domain = 0, type = 0;
    socklen_t size = sizeof(int);
    int kept = errno;
    int yes = getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0 && domain == AF_INET &&
              getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
    errno = kept;
    return yes;
}

/* Only these are on a disk: Linux documents no failing write to the eventfd that wakes an event loop. */
static int is_file(int fd) {
    struct stat about;
    int kept = errno;
    int yes = fstat(fd, &about) == 0 && S_ISREG(about.st_mode);
    errno = kept;
    return yes;
}

static int connected_here(int fd) { return fd >= 0 && fd < DESCRIPTORS && outgoing[fd]; }

static int64_t nanoseconds(const struct timespec *at) { return (int64_t)at->tv_sec * 1000000000 + at->tv_nsec; }

int clock_gettime(clockid_t clock, struct timespec *at) {
    REAL(clock_gettime);
    int result = real(clock, at);
    if (result == 0 && clock == CLOCK_MONOTONIC) looked_ns = nanoseconds(at);
    if (result == 0 && control && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t all = nanoseconds(at) + atomic_load(&control[0]);
        at->tv_sec = all / 1000000000;
        at->tv_nsec = all % 1000000000;
    }
    return result;
}

int gettimeofday(struct timeval *restrict at, void *restrict zone) {
    (void)zone;
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    at->tv_sec = now.tv_sec;
    at->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *at) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (at) *at = now.tv_sec;
    return now.tv_sec;
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if (domain == AF_INET && strikes(SOCKET)) return FAIL(EMFILE, ENFILE, ENOBUFS, ENOMEM);
    int fd = real(domain, type, protocol);
    if (fd >= 0 && fd < DESCRIPTORS) outgoing[fd] = 0;
    return fd;
}

int bind(int fd, const struct sockaddr *address, socklen_t size) {
    REAL(bind);
    if (armed(BIND) && streams(fd) && strikes(BIND)) return FAIL(EADDRINUSE, EADDRNOTAVAIL, ENOMEM);
    return real(fd, address, size);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    REAL(connect);
    if (fd >= 0 && fd < DESCRIPTORS) outgoing[fd] = 1;
    if (armed(CONNECT) && streams(fd) && strikes(CONNECT))
        return FAIL(EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, ECONNREFUSED, EAGAIN, ENOBUFS);
    return real(fd, address, size);
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    REAL(accept4);
    if (strikes(ACCEPT)) return FAIL(ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO, EINTR, EPERM);
    int got = real(fd, address, size, flags);
    if (got >= 0 && got < DESCRIPTORS) outgoing[got] = 0;
    return got;
}

int accept(int fd, struct sockaddr *address, socklen_t *size) { return accept4(fd, address, size, 0); }

ssize_t read(int fd, void *into, size_t count) {
    REAL(read);
    if (armed(READ) && streams(fd) && strikes(READ)) {
        int way = rand_r(&seed) % 8;
        if (way == 0 && connected_here(fd)) return FAIL(ETIMEDOUT, EHOSTUNREACH, ECONNRESET, ENOBUFS);
        if (way < 3) return FAIL(EINTR);
        if (way < 5) return FAIL(EAGAIN);
        return real(fd, into, count < 1 + (size_t)way ? count : 1 + (size_t)way);
    }
    return real(fd, into, count);
}

static ssize_t cut(int fd, const void *from, size_t count, ssize_t (*real)(int, const void *, size_t)) {
    int way = rand_r(&seed) % 8;
    if (way == 0 && connected_here(fd)) return FAIL(EPIPE, ECONNRESET, ETIMEDOUT, EHOSTUNREACH);
    if (way < 3) return FAIL(EINTR);
    if (way < 5) return FAIL(EAGAIN);
    return real(fd, from, count < 1 + (size_t)way ? count : 1 + (size_t)way);
}

/* Recorded after the write, which must not take longer. */
static void note_held(int fd, int64_t looked) {
    if (!control || !looked || !connected_here(fd)) return;
    struct timespec now;
    int kept = errno;
    clock_gettime(CLOCK_MONOTONIC, &now);
    errno = kept;
    if (nanoseconds(&now) - looked <= HELD_NS) return;
    int64_t number = atomic_load(&control[HELD_WRITES]);
    atomic_store(&control[HELD_WRITES + 1 + number % HELD_KEPT], nanoseconds(&now));
    atomic_store(&control[HELD_WRITES], number + 1);
}

static ssize_t write_now(int fd, const void *from, size_t count) {
    REAL(write);
    int64_t looked = looked_ns;
    ssize_t result = real(fd, from, count);
    note_held(fd, looked);
    return result;
}

ssize_t write(int fd, const void *from, size_t count) {
    REAL(write);
    if (count > 0 && (armed(WRITE) || armed(DISK))) {
        if (streams(fd)) {
            if (strikes(WRITE)) return cut(fd, from, count, real);
        } else if (fd > 2 && is_file(fd) && strikes(DISK)) {
            return FAIL(ENOSPC, EIO, EDQUOT);
        }
    }
    return write_now(fd, from, count);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    if (armed(WRITE) && count > 0 && parts[0].iov_len > 0 && streams(fd) && strikes(WRITE)) {
        static ssize_t (*plain)(int, const void *, size_t);
        if (!plain) plain = (ssize_t (*)(int, const void *, size_t))dlsym(RTLD_NEXT, "write");
        return cut(fd, parts[0].iov_base, parts[0].iov_len, plain);
    }
    return real(fd, parts, count);
}

ssize_t pwrite64(int fd, const void *from, size_t count, off64_t at) {
    REAL(pwrite64);
    if (control && strikes(DISK)) return FAIL(ENOSPC, EIO, EDQUOT);
    return real(fd, from, count, at);
}

ssize_t pwrite(int fd, const void *from, size_t count, off_t at) { return pwrite64(fd, from, count, at); }

int fsync(int fd) {
    REAL(fsync);
    if (control && strikes(FSYNC)) return FAIL(EIO, ENOSPC);
    return real(fd);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int wait) {
    REAL(epoll_wait);
    if (control && strikes(EPOLL)) return FAIL(EINTR);
    return real(fd, events, most, wait);
}

int epoll_pwait(int fd, struct epoll_event *events, int most, int wait, const sigset_t *mask) {
    REAL(epoll_pwait);
    if (control && strikes(EPOLL)) return FAIL(EINTR);
    return real(fd, events, most, wait, mask);
}
