/* connectwrap.c - linked into the foxtailnode of the tests with --wrap=connect, so that a test can
 * make connects hang or fail on the way, which a listener alone cannot do for some clients only.
 *
 * The file named by FOXTAILNODE_DETOUR holds a port, and the address and port (in decimal) to which
 * connects to that port go instead. No file, or an empty one: none do.
 *
 * FOXTAILNODE_SOURCE is the address (in decimal) that connections come from, so that a proxy can
 * tell the instances apart. Unset: the kernel chooses. */
#include <arpa/inet.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

int __real_connect (int fd, const struct sockaddr *addr, socklen_t size);
int __wrap_connect (int fd, const struct sockaddr *addr, socklen_t size);

static void
bind_source (int fd)
{
  const char *text = getenv ("FOXTAILNODE_SOURCE");
  struct sockaddr_in from = { 0 };
  socklen_t size = sizeof from;
  int on = 1;

  if (text == NULL || getsockname (fd, (struct sockaddr *) &from, &size) != 0
      || from.sin_family != AF_INET || from.sin_addr.s_addr != 0)
    return;
  from.sin_addr.s_addr = htonl ((uint32_t) strtoul (text, NULL, 10));
  setsockopt (fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
  if (bind (fd, (const struct sockaddr *) &from, sizeof from) != 0)
    abort ();
}

int
__wrap_connect (int fd, const struct sockaddr *addr, socklen_t size)
{
  const char *path = getenv ("FOXTAILNODE_DETOUR");
  FILE *file = path ? fopen (path, "re") : NULL;
  struct sockaddr_in to = *(const struct sockaddr_in *) (const void *) addr;
  unsigned port, ip, to_port;
  bool listed = file && fscanf (file, "%u %u %u", &port, &ip, &to_port) == 3;

  if (file)
    fclose (file);
  bind_source (fd);
  if (!listed || addr->sa_family != AF_INET || ntohs (to.sin_port) != port)
    return __real_connect (fd, addr, size);
  to.sin_addr.s_addr = htonl (ip);
  to.sin_port = htons ((uint16_t) to_port);
  return __real_connect (fd, (const struct sockaddr *) &to, sizeof to);
}
