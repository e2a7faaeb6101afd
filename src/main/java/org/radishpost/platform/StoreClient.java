package org.radishpost.platform;

import io.netty.channel.ChannelOption;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import org.radishpost.errors.PlatformDocumentException;
import org.radishpost.errors.RadishpostException;
import org.radishpost.errors.RecordsDeletedException;
import org.radishpost.errors.StoreException;
import org.radishpost.feed.KeyedRecord;
import org.radishpost.http.NameResolution;
import org.radishpost.http.TcpKeepAlive;
import org.radishpost.lib.Endpoint;
import reactor.core.Exceptions;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/**
 * The client of the platform's store; thread-safe.
 *
 * <p>A call that is not answered in time closes its connection, as nothing more comes on it.
 */
public final class StoreClient {
  private static final int OK = 200;
  private static final int GONE = 410;
  private static final int CONNECTIONS = 4;
  private static final Duration CALL_LIMIT = Duration.ofMillis(900);
  private static final Duration CONNECT_LIMIT = Duration.ofMillis(600);

  private final Scheduler clock;
  private final HttpClient client;

  /**
   * Creates a client that connects at its first call.
   *
   * @param address where the store listens
   * @param clock the clock for time limits
   * @param loops the threads
   */
  public StoreClient(Endpoint address, Scheduler clock, LoopResources loops) {
    this.clock = clock;
    this.client =
        NameResolution.disable(
                TcpKeepAlive.enable(
                    HttpClient.create(ConnectionProvider.create("store", CONNECTIONS))))
            .runOn(loops)
            .disableRetry(true)
            .headers(headers -> headers.remove("user-agent").remove("accept"))
            .remoteAddress(() -> new InetSocketAddress(address.ip(), address.port()))
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.toIntExact(CONNECT_LIMIT.toMillis()));
  }

  /**
   * Reads records of a topic's only partition.
   *
   * @param topic the topic
   * @param from the offset of the first record
   * @param wait how long the store waits for a record when there is none
   * @return the records; or {@link RecordsDeletedException} or {@link StoreException}
   */
  Mono<KeyedPage> read(String topic, long from, Duration wait) {
    String uri =
        WireNames.LOG_READ
            + "?topic="
            + topic
            + "&part=0&from="
            + from
            + (wait.isZero() ? "" : "&wait-ms=" + wait.toMillis());
    return get(uri, CALL_LIMIT.plus(wait))
        .map(bytes -> decoded(() -> KeyedPage.decode(bytes, from)));
  }

  /**
   * Returns the newest record of each key of a topic's only partition.
   *
   * @return the records, and the offset from which on to read what follows them; or {@link
   *     StoreException}
   */
  Mono<KeyedPage> newest(String topic) {
    return newest(topic, Optional.empty(), new ArrayList<>(), Optional.empty());
  }

  /** Pages are no snapshot, so what follows is read from the end that the first page names. */
  private Mono<KeyedPage> newest(
      String topic, Optional<String> after, List<KeyedRecord> before, Optional<Long> firstEnd) {
    String uri =
        WireNames.LOG_NEWEST
            + "?topic="
            + topic
            + "&part=0"
            + after
                .map(key -> "&after=" + URLEncoder.encode(key, StandardCharsets.UTF_8))
                .orElse("");
    return get(uri, CALL_LIMIT)
        .flatMap(
            bytes -> {
              NewestPage page = decoded(() -> NewestPage.decode(bytes));
              before.addAll(page.records());
              long end = firstEnd.orElse(page.end());
              if (page.more() && !page.records().isEmpty()) {
                String last = page.records().getLast().key();
                return newest(topic, Optional.of(last), before, Optional.of(end));
              }
              return Mono.just(new KeyedPage(before, end));
            });
  }

  private Mono<byte[]> get(String uri, Duration limit) {
    return client
        .get()
        .uri(uri)
        .responseSingle(
            (response, body) ->
                body.asByteArray()
                    .defaultIfEmpty(new byte[0])
                    .flatMap(bytes -> checked(response.status().code(), bytes)))
        .timeout(limit, clock)
        .onErrorMap(StoreClient::failure);
  }

  private static Mono<byte[]> checked(int status, byte[] bytes) {
    if (status == OK) {
      return Mono.just(bytes);
    }
    if (status == GONE) {
      return Mono.error(
          new RecordsDeletedException("The records are no longer kept: read the newest ones."));
    }
    return Mono.error(new StoreException("The store answered " + status + ": ask again later."));
  }

  private static Throwable failure(Throwable error) {
    return switch (error) {
      case RadishpostException known -> known;
      case TimeoutException late ->
          new StoreException("The store did not answer in time: ask again later.", late);
      default -> new StoreException("The store can't be reached: check the way to it.", error);
    };
  }

  private static <T> T decoded(Decoding<T> decoding) {
    try {
      return decoding.run();
    } catch (RadishpostException e) {
      throw Exceptions.propagate(e);
    }
  }

  private interface Decoding<T> {
    T run() throws RadishpostException;
  }

  /**
   * One answer of {@code log-newest}.
   *
   * @param records the newest records of some keys
   * @param more whether there are further keys
   * @param end the end of the topic when the page was made
   */
  private record NewestPage(List<KeyedRecord> records, boolean more, long end) {
    private static NewestPage decode(byte[] bytes) throws PlatformDocumentException {
      Document page = Document.parse("page of newest records", bytes);
      List<KeyedRecord> records = new ArrayList<>();
      for (Document item : page.objectList("items")) {
        byte[] value = Base64.getDecoder().decode(item.text("value"));
        records.add(
            new KeyedRecord((long) item.number("offset"), item.text("key"), Optional.of(value)));
      }
      return new NewestPage(records, page.flag("has-more"), (long) page.number("end"));
    }
  }
}
