package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in of a sound upstream. It runs {@code slots} requests at a time and queues a few. */
class Upstream implements AutoCloseable {
  static final String TOPIC = "keyed.servers";
  private static final int QUEUE = 4;

  final String id;
  final String service;
  final String zone;
  final int slots;
  final long bornMillis = System.currentTimeMillis();
  final List<Run> runs = new CopyOnWriteArrayList<>();
  volatile long workMillis;

  /** Whether the upstream has left the registry; it writes nothing there any more. */
  volatile boolean left;

  volatile byte[] responseBody = "done".getBytes(StandardCharsets.UTF_8);

  final Record record;
  private final ServerSocket listener;
  private final Semaphore slot;
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger waiting = new AtomicInteger();
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private int sequence;

  /** A request that began to run, and when it arrived. */
  record Run(String requestId, double arrivedSeconds) {}

  Upstream(
      Record record, String ip, String id, String service, String zone, int slots, long workMillis)
      throws IOException {
    this.record = record;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.workMillis = workMillis;
    this.slot = new Semaphore(slots, true);
    listener = new ServerSocket();
    listener.bind(new InetSocketAddress(ip, 0), 500);
    Thread.ofVirtual().start(this::acceptAll);
  }

  /** Returns the next entry for the store, with the given state. */
  synchronized String entry(String state) {
    sequence++;
    return "{\"service\":\"" + service + "\",\"address\":\""
        + listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort()
        + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"concurrency\":" + slots
        + ",\"state\":\"" + state + "\",\"warmup-left-s\":0,\"sequence\":" + sequence
        + ",\"born\":" + bornMillis + "}";
  }

  private void acceptAll() {
    while (true) {
      try {
        Socket socket = listener.accept();
        sockets.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
      OutputStream out = socket.getOutputStream();
      for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
        if (head.target().equals("/healthz")) {
          write(out, 200, Map.of("X-Instance-Id", id, "X-Upstream-Load", load()), new byte[0]);
        } else if (!handle(head, in, out)) {
          return;
        }
      }
    } catch (IOException | InterruptedException e) {
      // the caller has closed the connection
    } finally {
      sockets.remove(socket);
    }
  }

  /** Handles a request; returns whether the connection stays open. */
  boolean handle(Http.Head head, InputStream in, OutputStream out)
      throws IOException, InterruptedException {
    double arrived = record.now();
    byte[] body = Http.readBody(in, head);
    String requestId = head.field("x-request-id");
    String expected = head.field("x-expect-instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      write(out, 421, Map.of("X-Instance-Id", id, "X-Request-Id", requestId), new byte[0]);
      return true;
    }
    if (waiting.get() >= QUEUE) {
      write(out, 503, Map.of("X-Not-Executed", "1", "X-Request-Id", requestId), new byte[0]);
      return true;
    }
    waiting.incrementAndGet();
    slot.acquire();
    waiting.decrementAndGet();
    running.incrementAndGet();
    try {
      runs.add(new Run(requestId, arrived));
      record.line("run      %s at %s, %d bytes", requestId, id, body.length);
      work(head, out);
    } finally {
      running.decrementAndGet();
      slot.release();
    }
    answer(out, requestId);
    return true;
  }

  /** Does the work of a request, which holds a slot meanwhile. */
  void work(Http.Head head, OutputStream out) throws IOException, InterruptedException {
    Thread.sleep(workMillis);
  }

  /** Sends the answer to a request that has run. */
  void answer(OutputStream out, String requestId) throws IOException, InterruptedException {
    write(
        out,
        200,
        Map.of(
            "X-Request-Id", requestId, "X-Upstream-Signature", "mac." + requestId,
            "X-Upstream-Load", load()),
        responseBody);
  }

  String load() {
    return running.get() + "," + waiting.get() + "," + slots + ",100";
  }

  static void write(OutputStream out, int status, Map<String, String> fields, byte[] body)
      throws IOException {
    StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " x\r\n");
    fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    byte[] headBytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = java.util.Arrays.copyOf(headBytes, headBytes.length + body.length);
    System.arraycopy(body, 0, all, headBytes.length, body.length);
    out.write(all);
    out.flush();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
