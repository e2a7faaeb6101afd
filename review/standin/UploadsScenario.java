import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Clients upload; three of four machines are lost, so that all clients come to the fourth. */
final class UploadsScenario extends Scenario {
  private static final int UPLOADERS = 72;
  private static final int UPLOAD_BYTES = 2_400_000;
  private static final int UPLOAD_DEADLINE_MILLIS = 2_500;
  private static final int PIECES = 96;
  private static final int PIECE_MILLIS = 20;

  private final Map<String, Integer> results = new ConcurrentHashMap<>();

  UploadsScenario(Rig rig, boolean trouble) {
    super(rig, trouble);
  }

  @Override
  boolean broken() throws Exception {
    rig.publish(State.of(1, 0));
    register("writing", "writing", 8, 2, work(120));
    register("taking", "taking", 24, 3, work(110));
    startEntries(4);
    for (int i = 0; i < UPLOADERS; i++) {
      int client = i;
      Thread.ofVirtual().start(() -> upload(client));
    }
    startCallers(16, 200, Caller.Kind.WRITE);
    Thread.sleep(10_000);
    if (trouble) {
      for (Rig.Entry entry : entries.subList(1, entries.size())) {
        rig.kill(entry);
      }
    }
    Thread.sleep(3_000);
    final long fromNanos = System.nanoTime();
    Thread.sleep(20_000);
    stopCallers();
    rig.log("uploads by result: %s", results);
    logStates();
    return answersMissing(fromNanos, WRITE_TIMEOUT_SECONDS);
  }

  /** Uploads again and again over a line of 10 Mbit/s. */
  private void upload(int client) {
    for (int i = 0; !stopped; i++) {
      String id = "upload" + client + "-" + i;
      String result;
      try (Socket socket = new Socket()) {
        socket.connect(entryOf(client).front(), 1_000);
        socket.setSoTimeout(UPLOAD_DEADLINE_MILLIS);
        Thread writer = Thread.ofVirtual().start(() -> writeBody(socket, id));
        result = String.valueOf(Rig.Http.read(socket.getInputStream()).status());
        socket.close();
        writer.join();
      } catch (IOException e) {
        result = e.getClass().getSimpleName() + " " + e.getMessage();
      } catch (InterruptedException e) {
        return;
      }
      results.merge(result, 1, Integer::sum);
      rig.log("%s: %s", id, result);
      sleep(500);
    }
  }

  private static void writeBody(Socket socket, String id) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", Rig.HOST);
    headers.put("X-Request-Id", id);
    headers.put("X-Deadline-Ms", String.valueOf(UPLOAD_DEADLINE_MILLIS));
    headers.put("Content-Length", String.valueOf(UPLOAD_BYTES));
    try {
      OutputStream out = socket.getOutputStream();
      Rig.Http.write(out, "POST /uploads/x HTTP/1.1", headers, null);
      byte[] piece = new byte[UPLOAD_BYTES / PIECES];
      for (int i = 0; i < PIECES; i++) {
        out.write(piece);
        sleep(PIECE_MILLIS);
      }
    } catch (IOException e) {
      // The answer came before the end of the body, or the connection is closed.
    }
  }
}
