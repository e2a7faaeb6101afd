package review;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A stand-in for the platform's store: its keyed topics, with the calls that read them. It can be
 * restored from a copy: it then loses all records since, and gives their offsets out again.
 * Thread-safe.
 */
final class Store {
  private static final String OK = "HTTP/1.1 200 OK";
  private static final byte[] NO_BODY = new byte[0];

  private final Map<String, List<StoredRecord>> topics = new HashMap<>();
  private final HttpListener listener = new HttpListener(this::handle);
  private final Record record;
  private int era = 1;
  private int reads;

  private record StoredRecord(String key, String value, long writtenNanos) {}

  Store(Record record) {
    this.record = record;
  }

  String address() {
    return listener.address();
  }

  void open() throws IOException {
    listener.open();
  }

  void close() {
    listener.close();
  }

  /** Returns the number of reads that were answered with status 200. */
  synchronized int reads() {
    return reads;
  }

  /** Appends a record; a null value deletes the key. Returns its offset. */
  synchronized long put(String topic, String key, String value) {
    List<StoredRecord> records = topic(topic);
    records.add(new StoredRecord(key, value, System.nanoTime()));
    notifyAll();
    return records.size() - 1;
  }

  /** Drops all records that are younger than the copy and starts the next era. */
  synchronized void restoreCopyOf(long nanos) {
    topics.forEach(
        (name, records) -> {
          int before = records.size();
          records.removeIf(stored -> stored.writtenNanos() - nanos > 0);
          record.add("store: %s ended at %d, ends at %d now", name, before, records.size());
        });
    era++;
    record.add("store: era %d", era);
  }

  private List<StoredRecord> topic(String name) {
    return topics.computeIfAbsent(name, unused -> new ArrayList<>());
  }

  private boolean handle(Http.Message request, OutputStream out) throws Exception {
    String target = request.word(1);
    String path = target.substring(0, (target + "?").indexOf('?'));
    Map<String, String> query = query(target);
    switch (path) {
      case "/radishpost/log-read" -> read(query, out);
      case "/radishpost/log-newest" -> newest(query, out);
      default -> send(out, "HTTP/1.1 404 Not Found", NO_BODY);
    }
    return true;
  }

  private static Map<String, String> query(String target) {
    Map<String, String> query = new HashMap<>();
    for (String part : target.substring((target + "?").indexOf('?')).split("[?&]")) {
      int equals = part.indexOf('=');
      if (equals > 0) {
        query.put(part.substring(0, equals), part.substring(equals + 1));
      }
    }
    return query;
  }

  private void read(Map<String, String> query, OutputStream out) throws Exception {
    int from = Integer.parseInt(query.get("from"));
    long waitMillis = Long.parseLong(query.getOrDefault("wait-ms", "0"));
    byte[] page = awaitPage(query.get("topic"), from, waitMillis);
    if (page == null) {
      record.add("store: 410 for %s from %d", query.get("topic"), from);
      send(out, "HTTP/1.1 410 Gone", "{\"first\":0}".getBytes(StandardCharsets.UTF_8));
    } else {
      send(out, OK, page);
    }
  }

  /** Returns the records from an offset on; null if the topic does not reach that offset. */
  private synchronized byte[] awaitPage(String name, int from, long waitMillis) throws Exception {
    long deadlineNanos = System.nanoTime() + waitMillis * 1_000_000;
    while (topic(name).size() == from && System.nanoTime() - deadlineNanos < 0) {
      wait(Math.max(1, (deadlineNanos - System.nanoTime()) / 1_000_000));
    }
    List<StoredRecord> records = topic(name);
    if (from > records.size()) {
      return null;
    }
    reads++;
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream page = new DataOutputStream(bytes);
    page.writeLong(records.size());
    page.writeLong(0);
    for (StoredRecord stored : records.subList(from, records.size())) {
      byte[] key = stored.key().getBytes(StandardCharsets.UTF_8);
      byte[] value =
          stored.value() == null ? NO_BODY : stored.value().getBytes(StandardCharsets.UTF_8);
      page.writeInt(1 + key.length + value.length);
      page.writeByte(key.length);
      page.write(key);
      page.write(value);
    }
    return bytes.toByteArray();
  }

  private void newest(Map<String, String> query, OutputStream out) throws IOException {
    send(out, OK, newestPage(query.get("topic")).getBytes(StandardCharsets.UTF_8));
  }

  private synchronized String newestPage(String name) {
    Map<String, String> items = new LinkedHashMap<>();
    List<StoredRecord> records = topic(name);
    for (int offset = 0; offset < records.size(); offset++) {
      StoredRecord stored = records.get(offset);
      items.remove(stored.key());
      if (stored.value() != null) {
        items.put(stored.key(), item(stored, offset));
      }
    }
    reads++;
    return "{\"items\":[%s],\"has-more\":false,\"end\":%d}"
        .formatted(String.join(",", items.values()), records.size());
  }

  private static String item(StoredRecord stored, int offset) {
    byte[] value = stored.value().getBytes(StandardCharsets.UTF_8);
    return "{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%d}"
        .formatted(stored.key(), Base64.getEncoder().encodeToString(value), offset);
  }

  private void send(OutputStream out, String statusLine, byte[] body) throws IOException {
    String currentEra;
    synchronized (this) {
      currentEra = String.valueOf(era);
    }
    out.write(Http.encode(statusLine, body, "Store-Era", currentEra));
    out.flush();
  }
}
