package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Case: upstreams accept uploads before they have read the whole body, keep the connection and read
 * on.
 */
public final class EarlyAnswer {
  private static final int DEADLINE_MILLIS = 2_500;
  private static final int BODY_BYTES = 3_000_000;
  private static final int PART_BYTES = 100_000;
  private static final int READ_BEFORE_ANSWER_BYTES = 65_536;
  private static final long READ_ON_AFTER_MILLIS = 200;
  private static final int CLIENTS = 4;
  private static final int UPLOADS_PER_CLIENT = 8;

  private static final Map<String, Integer> RECEIVED = new ConcurrentHashMap<>();
  private static final Map<String, Integer> WRONG = new ConcurrentHashMap<>();
  private static final List<String> ACCEPTED = new CopyOnWriteArrayList<>();

  private EarlyAnswer() {}

  /** Runs the case; the argument is its folder. */
  public static void main(String[] arguments) {
    Verdict.run(arguments, EarlyAnswer::run);
  }

  private static int run(Lab lab) throws Exception {
    lab.config(
        Lab.state(
            3, Lab.route("uploads", "/up/", "upload", "proofs", 2.0), Lab.service("proofs")));
    for (int i = 0; i < 4; i++) {
      Beats.start(lab, lab.add(new EarlyUpstream(lab, "i-" + i, Verdict.trouble())));
    }
    Entry entry = lab.addEntry("edge-kozep-a-1", "kozep-a");
    lab.startEntries(1);
    Thread[] threads = new Thread[CLIENTS];
    for (int i = 0; i < CLIENTS; i++) {
      threads[i] = Thread.ofVirtual().start(() -> uploadAll(lab.record, entry));
    }
    for (Thread thread : threads) {
      thread.join();
    }
    Thread.sleep(2_000);
    return check(lab.record);
  }

  private static int check(Record record) {
    int cut = 0;
    for (String requestId : ACCEPTED) {
      int received = RECEIVED.getOrDefault(requestId, 0);
      if (received < BODY_BYTES || WRONG.getOrDefault(requestId, 0) > 0) {
        cut++;
        record.line(
            "cut      %s: the client got 200, its upstream got %d of %d bytes",
            requestId, received, BODY_BYTES);
      }
    }
    record.line(
        "check    %d uploads answered with 200, %d of them with another body at the upstream: %s",
        ACCEPTED.size(), cut, cut > 0 ? "broken" : "held");
    if (ACCEPTED.isEmpty()) {
      return Verdict.COULD_NOT_RUN;
    }
    return cut > 0 ? Verdict.BROKEN : Verdict.HELD;
  }

  private static void uploadAll(Record record, Entry entry) {
    for (int i = 0; i < UPLOADS_PER_CLIENT; i++) {
      try {
        upload(record, entry);
        Thread.sleep(300);
      } catch (IOException e) {
        record.line("failed   %s", e);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Sends the whole body, whatever is answered meanwhile, and reads the answer. */
  private static void upload(Record record, Entry entry) throws IOException, InterruptedException {
    String requestId = Client.newId();
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(entry.ip, entry.front), 1_000);
      socket.setSoTimeout(DEADLINE_MILLIS + 500);
      record.line("send     %s, %d bytes", requestId, BODY_BYTES);
      Thread writer = Thread.ofVirtual().start(() -> write(record, socket, requestId));
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Http.Head head = Http.readHead(in);
      if (head == null) {
        record.line("closed   %s", requestId);
        return;
      }
      Http.readBody(in, head);
      record.line("answered %s %d", requestId, head.status());
      writer.join();
      if (head.status() == 200 && !head.field("x-upstream-signature").isEmpty()) {
        ACCEPTED.add(requestId);
      }
    }
  }

  private static void write(Record record, Socket socket, String requestId) {
    try {
      OutputStream out = socket.getOutputStream();
      out.write(
          Client.head(
              "POST", "demo.example", "/up/proof", requestId, DEADLINE_MILLIS, BODY_BYTES));
      byte[] part = new byte[PART_BYTES];
      java.util.Arrays.fill(part, (byte) 'b');
      for (int sent = 0; sent < BODY_BYTES; sent += PART_BYTES) {
        out.write(part);
      }
      record.line("written  %s", requestId);
    } catch (IOException e) {
      record.line("unsent   %s: %s", requestId, e);
    }
  }

  /** An upstream that reads all it is sent, the rest of a body after its answer. */
  private static final class EarlyUpstream extends Upstream {
    private final boolean early;

    EarlyUpstream(Lab lab, String id, boolean early) throws IOException {
      super(lab.record, lab.nextIp(), id, "proofs", "kozep-a", 2, 0);
      this.early = early;
    }

    @Override
    boolean handle(Http.Head head, InputStream in, OutputStream out)
        throws IOException, InterruptedException {
      String requestId = head.field("x-request-id");
      int length = Integer.parseInt(head.field("content-length"));
      record.line("run      %s at %s", requestId, id);
      int before = early ? READ_BEFORE_ANSWER_BYTES : length;
      boolean whole = read(in, requestId, before);
      if (!whole) {
        return false;
      }
      answer(out, requestId);
      if (!early) {
        return true;
      }
      Thread.sleep(READ_ON_AFTER_MILLIS);
      return read(in, requestId, length - before);
    }

    @Override
    void answer(OutputStream out, String requestId) throws IOException {
      write(
          out,
          200,
          Map.of("X-Request-Id", requestId, "X-Upstream-Signature", "mac." + requestId),
          "accepted".getBytes());
    }

    private boolean read(InputStream in, String requestId, int length) throws IOException {
      byte[] part = in.readNBytes(length);
      int wrong = 0;
      for (byte value : part) {
        wrong += value == 'b' ? 0 : 1;
      }
      RECEIVED.merge(requestId, part.length, Integer::sum);
      WRONG.merge(requestId, wrong, Integer::sum);
      record.line("read     %s: %d of %d bytes at %s", requestId, part.length, length, id);
      return part.length == length;
    }
  }
}
