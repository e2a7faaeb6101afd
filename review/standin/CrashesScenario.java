import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A request that crashes each server that begins to run it comes again and again. */
final class CrashesScenario extends Scenario {
  private static final String SERVICE = "writing";
  private static final int SERVERS = 6;
  private static final int SLOTS = 2;
  private static final int BACK_AFTER_MILLIS = 3_000;
  private static final int ENTRY_LAPSES_AFTER_MILLIS = 4_500;
  private static final int WRITERS = 21;
  private static final int REPEATS = 25;
  private static final int CRASHES_BEFORE_BOUND = 3;
  private static final int MAX_RETRIES = 3;
  private static final long STABLE_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(3);
  private static final byte[] CRASHING_BODY = "the request that crashes its server".getBytes();

  private final AtomicInteger lastServer = new AtomicInteger();
  private final List<Long> crashes = new CopyOnWriteArrayList<>();
  private final Map<String, Integer> writes = new ConcurrentHashMap<>();

  CrashesScenario(Rig rig, boolean trouble) {
    super(rig, trouble);
  }

  @Override
  boolean broken() throws Exception {
    rig.publish(State.of(1, 0));
    for (int i = 0; i < SERVERS; i++) {
      addServer();
    }
    startEntries(2);
    for (int i = 0; i < WRITERS; i++) {
      int client = i;
      Thread.ofVirtual().start(() -> write(client));
    }
    Thread.sleep(2_000);
    for (int i = 0; i < REPEATS; i++) {
      if (trouble) {
        String result = post(entryOf(i), "/writes/crash", "crash-" + i, CRASHING_BODY);
        rig.log("crash-%d at %s: %s", i, entryOf(i).name(), result);
      }
      Thread.sleep(1_000);
    }
    stopped = true;
    Thread.sleep(Caller.DEADLINE_MILLIS + 500);
    rig.log("other writes by result: %s", writes);
    long boundNanos =
        crashes.size() < CRASHES_BEFORE_BOUND
            ? Long.MAX_VALUE
            : crashes.get(CRASHES_BEFORE_BOUND - 1) + STABLE_WINDOW_NANOS;
    long retries = crashes.stream().filter(nanos -> nanos > boundNanos).count();
    rig.log(
        "the request has reached %d servers, %d of them later than stable-window-s after the third",
        crashes.size(),
        retries);
    return retries > MAX_RETRIES;
  }

  private void addServer() throws IOException {
    String id = "i-" + SERVICE + "-" + lastServer.incrementAndGet();
    Target server = new Target(rig, id, SLOTS, this::answerOrCrash);
    rig.register(id, SERVICE, server.address(), SLOTS, "ready");
  }

  private boolean answerOrCrash(
      Target server, Rig.Http.Message head, InputStream in, OutputStream out, Socket socket)
      throws Exception {
    byte[] body = Rig.Http.readBody(in, head);
    if (!head.start().contains("/crash")) {
      Thread.sleep(120);
      server.answerSigned(out, head, 200, body);
      return true;
    }
    crashes.add(System.nanoTime());
    rig.log("%s crashes", server.id);
    Thread.ofVirtual().start(() -> comeBack(server.id));
    server.crash();
    return false;
  }

  /** A new server takes the place of one that has crashed, whose entry lapses later. */
  private void comeBack(String id) {
    sleep(BACK_AFTER_MILLIS);
    try {
      addServer();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    sleep(ENTRY_LAPSES_AFTER_MILLIS - BACK_AFTER_MILLIS);
    rig.unregister(id);
  }

  /** Sends a write of its own each second. */
  private void write(int client) {
    sleep(client * 1_000L / WRITERS);
    for (int i = 0; !stopped; i++) {
      String id = "write" + client + "-" + i;
      String result = post(entryOf(client), "/writes/x", id, id.getBytes());
      rig.log("%s: %s", id, result);
      writes.merge(result, 1, Integer::sum);
      sleep(850);
    }
  }

  private static String post(Rig.Entry entry, String path, String id, byte[] body) {
    try (Socket socket = new Socket()) {
      socket.connect(entry.front(), 1_000);
      socket.setSoTimeout(Caller.DEADLINE_MILLIS);
      OutputStream out = socket.getOutputStream();
      Rig.Http.write(out, "POST " + path + " HTTP/1.1", Caller.head(id), body);
      return String.valueOf(Rig.Http.read(socket.getInputStream()).status());
    } catch (IOException e) {
      return e.toString();
    }
  }
}
