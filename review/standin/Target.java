import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A server of the platform: some slots, a short queue, a signature on each of its answers. */
class Target {
  static final int QUEUE = 4;

  /** What a server does with a request that has a slot. */
  interface Work {
    /** Reads the body and answers; returns whether the connection stays open. */
    boolean run(Target target, Rig.Http.Message head, InputStream in, OutputStream out, Socket socket)
        throws Exception;
  }

  final String id;
  final int slots;
  private final ServerSocket listener;
  private final Semaphore free;
  private final AtomicInteger waiting = new AtomicInteger();
  private final Work work;
  private final Rig rig;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

  /** Whether work stops at the deadline of its request. */
  volatile boolean stopsAtDeadlines = true;

  Target(Rig rig, String id, int slots, Work work) throws IOException {
    this.rig = rig;
    this.id = id;
    this.slots = slots;
    this.free = new Semaphore(slots, true);
    this.work = work;
    this.listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    Thread.ofVirtual().start(this::accept);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = listener.accept();
        sockets.add(socket);
        socket.setTcpNoDelay(true);
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      boolean open = true;
      while (open) {
        open = serveOne(Rig.Http.readHead(in), in, out, socket);
      }
    } catch (Exception e) {
      // The connection ends.
    } finally {
      sockets.remove(socket);
    }
  }

  private boolean serveOne(Rig.Http.Message head, InputStream in, OutputStream out, Socket socket)
      throws Exception {
    if (head.start().startsWith("GET /healthz ")) {
      answer(out, 200, Map.of("X-Instance-Id", id), new byte[0]);
      return true;
    }
    if (!head.header("x-expect-instance").equals(id)) {
      Rig.Http.readBody(in, head);
      answer(out, 421, Map.of("X-Instance-Id", id), new byte[0]);
      return true;
    }
    if (waiting.incrementAndGet() > QUEUE && free.availablePermits() == 0) {
      waiting.decrementAndGet();
      Rig.Http.readBody(in, head);
      answer(out, 503, Map.of("X-Not-Executed", "1"), new byte[0]);
      return true;
    }
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(deadlineMillis(head));
    boolean started = free.tryAcquire(deadlineMillis(head), TimeUnit.MILLISECONDS);
    waiting.decrementAndGet();
    if (!started) {
      Rig.Http.readBody(in, head);
      answer(out, 503, Map.of("X-Not-Executed", "1"), new byte[0]);
      return true;
    }
    rig.log("%s runs %s", id, head.header("x-request-id"));
    Thread stop = Thread.ofVirtual().start(() -> closeAt(deadlineNanos, socket));
    try {
      return work.run(this, head, in, out, socket);
    } finally {
      stop.interrupt();
      free.release();
    }
  }

  /** Stops the work on a request at its deadline, whatever it waits for. */
  private void closeAt(long deadlineNanos, Socket socket) {
    try {
      TimeUnit.NANOSECONDS.sleep(deadlineNanos - System.nanoTime());
      if (stopsAtDeadlines) {
        socket.close();
      }
    } catch (InterruptedException | IOException e) {
      // The work has ended before.
    }
  }

  private static long deadlineMillis(Rig.Http.Message head) {
    return Long.parseLong(head.header("x-deadline-ms"));
  }

  /** Writes the whole answer to a request that has run. */
  void answerSigned(OutputStream out, Rig.Http.Message request, int status, byte[] body)
      throws IOException {
    answer(out, status, signed(request), body);
  }

  Map<String, String> signed(Rig.Http.Message request) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("X-Request-Id", request.header("x-request-id"));
    headers.put("X-Upstream-Signature", "sig." + request.header("x-request-id"));
    return headers;
  }

  void answer(OutputStream out, int status, Map<String, String> headers, byte[] body)
      throws IOException {
    Map<String, String> all = new LinkedHashMap<>(headers);
    all.put("X-Upstream-Load", load());
    Rig.Http.write(out, "HTTP/1.1 " + status + " Said", all, body);
  }

  String load() {
    return (slots - free.availablePermits()) + "," + waiting.get() + "," + slots + ",100";
  }

  /** Ends as a process that crashes: the listener and all connections are gone. */
  void crash() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }
}
