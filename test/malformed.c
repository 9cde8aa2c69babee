/* malformed.c - sends corrupted requests to a port.
 *
 * Usage: malformed http|rpc PORT COUNT SEED. Prints how many connections got a reply, and how many
 * of these replies began with a 4xx status. */
#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

static const char http[] = "POST /v1/chat/completions HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                           "Authorization: Bearer kalkhaus-key\r\nContent-Length: 63\r\n"
                           "Connection: close\r\n\r\n{\"model\":\"none\",\"messages\":[{\"role\":"
                           "\"user\",\"content\":\"hello\"}]}";
/* One ONC RPC record: record mark, transaction id, call, RPC version 2, program, version,
 * procedure, two empty authenticators, then the arguments, a batch of messages. */
static const char rpc[] = "\x80\0\0\x54\0\0\0\1\0\0\0\0\0\0\0\2\x20\x46\x4f\x58\0\0\0\1\0\0\0\1"
                          "\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\2\0\0\0\1\0\0\0\0\0\0\0\7"
                          "\0\0\0\0\0\0\0\1\0\0\0\4\0\0\0\0\0\0\0\10\1\2\3\4\5\6\7\10";

static int
connect_to (int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct timeval limit = { 0, 200000 };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_port = htons ((uint16_t) port);
  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  if (connect (fd, (struct sockaddr *) &address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

static void
corrupt (GRand *random, char *bytes, gsize size)
{
  int changes = g_rand_int_range (random, 1, 6);

  for (int i = 0; i < changes; i++)
    bytes[g_rand_int_range (random, 0, (gint32) size)] = (char) g_rand_int_range (random, 0, 256);
}

int
main (int argc, char **argv)
{
  unsigned replies = 0, refused = 0, not_connected = 0;

  if (argc != 5)
    return 2;
  gboolean is_http = strcmp (argv[1], "http") == 0;
  gsize size = is_http ? sizeof http - 1 : sizeof rpc - 1;
  GRand *random = g_rand_new_with_seed ((guint32) g_ascii_strtoull (argv[4], NULL, 10));
  int count = (int) g_ascii_strtoll (argv[3], NULL, 10);
  for (int i = 0; i < count; i++)
    {
      char bytes[512], reply[512];
      int fd = connect_to ((int) g_ascii_strtoll (argv[2], NULL, 10));
      if (fd < 0)
        {
          not_connected++;
          continue;
        }
      memcpy (bytes, is_http ? http : rpc, size);
      corrupt (random, bytes, size);
      /* Ends the stream, so that a server that waits for more bytes does not wait for its timeout.
       */
      ssize_t got = -1;
      if (send (fd, bytes, size, MSG_NOSIGNAL) == (ssize_t) size && shutdown (fd, SHUT_WR) == 0)
        got = recv (fd, reply, sizeof reply, 0);
      replies += got > 0;
      refused += got > 12 && memcmp (reply, "HTTP/1.1 4", 10) == 0;
      close (fd);
    }
  printf ("%d sent, %u not connected, %u replies, %u of them 4xx\n", count, not_connected, replies,
          refused);
  g_rand_free (random);
  return not_connected > 0;
}
