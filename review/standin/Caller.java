import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * A client that sends requests of one kind over a kept connection, one after the other.
 *
 * <p>It waits until its deadline, then closes the connection and goes on with a new one.
 */
final class Caller implements Runnable {
  static final int DEADLINE_MILLIS = 2_000;

  /**
   * A kind of request.
   *
   * @param start the start line
   * @param body the body, or null
   * @param deadlineMillis how long the client waits
   */
  record Kind(String start, byte[] body, int deadlineMillis) {
    static final Kind READ = new Kind("GET /reads/x HTTP/1.1", null, DEADLINE_MILLIS);
    static final Kind WRITE = new Kind("POST /writes/x HTTP/1.1", new byte[4_000], 2_500);
  }

  /** One request: when it was sent, when its whole answer was there (0 if never), and what it was. */
  record Sent(String id, String entry, long sentNanos, long answeredNanos, String result) {
    double seconds() {
      return (answeredNanos - sentNanos) / 1e9;
    }
  }

  private final Rig rig;
  private final String name;
  private final Supplier<Rig.Entry> entry;
  private final long pauseMillis;
  private final Kind kind;
  private final List<Sent> sent = new ArrayList<>();
  private volatile boolean stopped;

  Caller(Rig rig, String name, Supplier<Rig.Entry> entry, long pauseMillis, Kind kind) {
    this.rig = rig;
    this.name = name;
    this.entry = entry;
    this.pauseMillis = pauseMillis;
    this.kind = kind;
  }

  void stop() {
    stopped = true;
  }

  synchronized List<Sent> sent() {
    return List.copyOf(sent);
  }

  @Override
  public void run() {
    int number = 0;
    while (!stopped) {
      Rig.Entry chosen = entry.get();
      try (Socket socket = connect(chosen.front())) {
        while (!stopped && entry.get() == chosen) {
          one(chosen, socket, name + "-" + number++);
          Thread.sleep(pauseMillis);
        }
      } catch (IOException e) {
        pause();
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private Socket connect(InetSocketAddress front) throws IOException {
    Socket socket = new Socket();
    socket.connect(front, 1_000);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(kind.deadlineMillis());
    return socket;
  }

  private void pause() {
    try {
      Thread.sleep(pauseMillis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void one(Rig.Entry chosen, Socket socket, String id) throws IOException {
    final long sentNanos = System.nanoTime();
    String result;
    long answeredNanos = 0;
    try {
      Rig.Http.write(
          socket.getOutputStream(), kind.start(), head(id, kind.deadlineMillis()), kind.body());
      Rig.Http.Message answer = Rig.Http.read(socket.getInputStream());
      answeredNanos = System.nanoTime();
      result = String.valueOf(answer.status());
      add(new Sent(id, chosen.name(), sentNanos, answeredNanos, result));
      if (answer.header("connection").equals("close")) {
        throw new IOException("closed after an answer");
      }
    } catch (IOException e) {
      if (answeredNanos == 0) {
        add(new Sent(id, chosen.name(), sentNanos, 0, e.toString()));
      }
      throw e;
    }
  }

  static Map<String, String> head(String id) {
    return head(id, DEADLINE_MILLIS);
  }

  private static Map<String, String> head(String id, int deadlineMillis) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", Rig.HOST);
    headers.put("X-Request-Id", id);
    headers.put("X-Deadline-Ms", String.valueOf(deadlineMillis));
    return headers;
  }

  private synchronized void add(Sent request) {
    sent.add(request);
    rig.log(
        "request %s at %s: %s after %d ms",
        request.id(),
        request.entry(),
        request.result(),
        TimeUnit.NANOSECONDS.toMillis(
            (request.answeredNanos() == 0 ? System.nanoTime() : request.answeredNanos())
                - request.sentNanos()));
  }
}
