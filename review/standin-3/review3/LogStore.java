package review3;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A stand-in of the platform's store: the topics keyed.op and keyed.servers, as PROTOCOL.md
 * describes them. The operator and the upstreams write by {@link #put} and {@link #delete}.
 */
final class LogStore implements AutoCloseable {
  private static final int PAGE_RECORDS = 500;
  private static final long ERA = 1;

  private final ServerSocket listener;
  private final Map<String, List<Item>> topics = new HashMap<>();

  private record Item(String key, byte[] value) {}

  LogStore(String ip) throws IOException {
    listener = new ServerSocket();
    listener.bind(new InetSocketAddress(ip, 0), 200);
    Thread.ofVirtual().start(this::acceptAll);
  }

  String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  /** Appends a record; when this returns, the store has acknowledged it. */
  synchronized void put(String topic, String key, String value) {
    append(topic, new Item(key, value.getBytes(StandardCharsets.UTF_8)));
  }

  /** Appends a record without a value, which drops the key. */
  synchronized void delete(String topic, String key) {
    append(topic, new Item(key, new byte[0]));
  }

  private void append(String topic, Item item) {
    topics.computeIfAbsent(topic, name -> new ArrayList<>()).add(item);
    notifyAll();
  }

  private void acceptAll() {
    while (true) {
      try {
        Socket socket = listener.accept();
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
      for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
        Http.readBody(in, head);
        socket.getOutputStream().write(answer(head));
      }
    } catch (IOException | InterruptedException e) {
      // the caller has closed the connection
    }
  }

  private byte[] answer(Http.Head head) throws IOException, InterruptedException {
    int query = head.target().indexOf('?');
    String path = query < 0 ? head.target() : head.target().substring(0, query);
    Map<String, String> values = query(query < 0 ? "" : head.target().substring(query + 1));
    return switch (path) {
      case "/radishpost/log-newest" ->
          response(200, "application/json", newest(values.get("topic"), values.get("after")));
      case "/radishpost/log-read" -> read(values);
      default -> response(404, "text/plain", new byte[0]);
    };
  }

  private static Map<String, String> query(String text) {
    Map<String, String> values = new HashMap<>();
    for (String pair : text.split("&")) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        values.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return values;
  }

  private synchronized byte[] newest(String topic, String after) {
    List<Item> items = topics.getOrDefault(topic, List.of());
    TreeMap<String, Integer> offsets = new TreeMap<>();
    for (int offset = 0; offset < items.size(); offset++) {
      if (items.get(offset).value().length == 0) {
        offsets.remove(items.get(offset).key());
      } else {
        offsets.put(items.get(offset).key(), offset);
      }
    }
    Map<String, Integer> rest = after == null ? offsets : offsets.tailMap(after, false);
    List<String> page = new ArrayList<>();
    for (Map.Entry<String, Integer> entry : rest.entrySet()) {
      if (page.size() == PAGE_RECORDS) {
        break;
      }
      String value = Base64.getEncoder().encodeToString(items.get(entry.getValue()).value());
      page.add(
          "{\"key\":\"" + entry.getKey() + "\",\"value\":\"" + value + "\",\"offset\":"
              + entry.getValue() + "}");
    }
    boolean hasMore = rest.size() > page.size();
    String json =
        "{\"items\":[" + String.join(",", page) + "],\"has-more\":" + hasMore + ",\"end\":"
            + items.size() + "}";
    return json.getBytes(StandardCharsets.UTF_8);
  }

  private synchronized byte[] read(Map<String, String> values)
      throws IOException, InterruptedException {
    String topic = values.get("topic");
    int from = Integer.parseInt(values.get("from"));
    long untilNanos =
        System.nanoTime() + Long.parseLong(values.getOrDefault("wait-ms", "0")) * 1_000_000L;
    while (end(topic) <= from && untilNanos - System.nanoTime() > 0) {
      wait(Math.max(1, (untilNanos - System.nanoTime()) / 1_000_000L));
    }
    if (from > end(topic)) {
      return response(410, "application/json", "{\"first\":0}".getBytes(StandardCharsets.UTF_8));
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeLong(end(topic));
    out.writeLong(0);
    for (Item item : topics.getOrDefault(topic, List.of()).subList(from, end(topic))) {
      byte[] key = item.key().getBytes(StandardCharsets.UTF_8);
      out.writeInt(1 + key.length + item.value().length);
      out.writeByte(key.length);
      out.write(key);
      out.write(item.value());
    }
    return response(200, "application/octet-stream", bytes.toByteArray());
  }

  private int end(String topic) {
    return topics.getOrDefault(topic, List.of()).size();
  }

  private static byte[] response(int status, String type, byte[] body) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    String head =
        "HTTP/1.1 " + status + " x\r\nContent-Type: " + type + "\r\nContent-Length: " + body.length
            + "\r\nStore-Era: " + ERA + "\r\n\r\n";
    bytes.write(head.getBytes(StandardCharsets.ISO_8859_1));
    bytes.write(body);
    return bytes.toByteArray();
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
