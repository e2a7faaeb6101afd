package org.radishpost.platform;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelOption;
import java.net.InetSocketAddress;
import java.net.ProtocolException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import org.radishpost.errors.PlatformDocumentException;
import org.radishpost.errors.RadishpostException;
import org.radishpost.errors.RecordsDeletedException;
import org.radishpost.errors.StoreException;
import org.radishpost.feed.KeyedRecord;
import org.radishpost.feed.TopicOffset;
import org.radishpost.http.BodyCollector;
import org.radishpost.http.ByteBudget;
import org.radishpost.http.NameResolution;
import org.radishpost.http.ResponseCounters;
import org.radishpost.http.ResponseHandlers;
import org.radishpost.http.TcpKeepAlive;
import org.radishpost.lib.Endpoint;
import reactor.core.Exceptions;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/**
 * The client of the platform's store; thread-safe.
 *
 * <p>Responses do not name their requests. So that a late one is not taken for the response to
 * another request, each topic has its own connections, and a connection is only reused after a
 * response after which a late copy can be told from the next one: a page that ends with its topic.
 * A page that contradicts the requested offset is an error, and so is a response of an era that has
 * ended.
 */
public final class StoreClient {
  private static final int OK = 200;
  private static final int GONE = 410;
  private static final int MAX_CONNECTIONS_PER_TOPIC = 4;

  /** The store sends at most 1 MiB of records in a response, encoded as Base64 in some. */
  private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

  private static final long MAX_HELD_BYTES = 2 * MAX_RESPONSE_BYTES;

  /** The maximum size of the latest records of a topic. */
  private static final long MAX_SNAPSHOT_BYTES = 16 * 1024 * 1024;

  /** What a record takes in memory besides its key and its value. */
  private static final int RECORD_OVERHEAD_BYTES = 100;

  private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(900);
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(600);

  private final Endpoint address;
  private final Scheduler clock;
  private final LoopResources loops;
  private final Map<String, HttpClient> clients = new ConcurrentHashMap<>();
  private final StoreEra era = new StoreEra();
  private final ResponseCounters counters = new ResponseCounters();
  private final BodyCollector collector =
      new BodyCollector(
          new ByteBudget(MAX_HELD_BYTES), MAX_RESPONSE_BYTES, StoreClient::responseTooLarge);

  /**
   * Creates a client that connects on its first request.
   *
   * @param address the address of the store
   * @param clock the scheduler for timeouts
   * @param loops the event loop threads
   */
  public StoreClient(Endpoint address, Scheduler clock, LoopResources loops) {
    this.address = address;
    this.clock = clock;
    this.loops = loops;
  }

  /** Returns the counters of the responses that were dropped, malformed or cut. */
  public ResponseCounters counters() {
    return counters;
  }

  /** Returns the newest era of the store that a response has named; 0 if none has. */
  public long newestEra() {
    return era.newest();
  }

  /** Returns the number of responses that were dropped because their era has ended. */
  public long outdatedResponses() {
    return era.outdatedResponses();
  }

  private HttpClient createClient(String topic) {
    ConnectionProvider connections =
        ConnectionProvider.create("store-" + topic, MAX_CONNECTIONS_PER_TOPIC);
    HttpClient protectedClient =
        ResponseHandlers.protect(HttpClient.create(connections), Optional.empty(), counters);
    return NameResolution.disable(TcpKeepAlive.enable(protectedClient))
        .runOn(loops)
        .disableRetry(true)
        .headers(headers -> headers.remove("user-agent").remove("accept"))
        .remoteAddress(() -> new InetSocketAddress(address.ip(), address.port()))
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.toIntExact(CONNECT_TIMEOUT.toMillis()));
  }

  /**
   * Reads records of a topic, which has a single partition.
   *
   * @param topic the topic
   * @param from the offset of the first record
   * @param wait how long the store waits for a new record if there is none
   * @return the records, whose offsets are of a later era than {@code from} if the store has been
   *     restored since, or an error: {@link RecordsDeletedException} if the store does not have the
   *     offset, or another {@link StoreException}
   */
  Mono<KeyedPage> read(String topic, TopicOffset from, Duration wait) {
    String uri =
        WireNames.LOG_READ_PATH
            + "?topic="
            + topic
            + "&part=0&from="
            + from.offset()
            + (wait.isZero() ? "" : "&wait-ms=" + wait.toMillis());
    return get(
        topic,
        uri,
        from.era(),
        RESPONSE_TIMEOUT.plus(wait),
        (responseEra, bytes) ->
            KeyedPage.decode(bytes, new TopicOffset(responseEra, from.offset())),
        KeyedPage::endsWithTopic);
  }

  /**
   * Reads the latest record of each key of a topic, which has a single partition.
   *
   * @param topic the topic
   * @param minEra the earliest era in which the snapshot may be created
   * @return the records and the offset from which to read further records, or a {@link
   *     StoreException} as the error
   */
  Mono<KeyedPage> readSnapshot(String topic, long minEra) {
    return readSnapshot(topic, minEra, Optional.empty(), new ArrayList<>(), Optional.empty());
  }

  /**
   * Reads the pages after a key and adds their records to {@code records}. Records may be appended
   * to the topic between two pages, so new records are read from the end offset in the first page.
   * Pages of different eras do not belong together: the snapshot is read anew.
   */
  private Mono<KeyedPage> readSnapshot(
      String topic,
      long minEra,
      Optional<String> lastKey,
      List<KeyedRecord> records,
      Optional<TopicOffset> endOffset) {
    String uri =
        WireNames.LOG_NEWEST_PATH
            + "?topic="
            + topic
            + "&part=0"
            + lastKey
                .map(key -> "&after=" + URLEncoder.encode(key, StandardCharsets.UTF_8))
                .orElse("");
    return get(topic, uri, minEra, RESPONSE_TIMEOUT, SnapshotPage::decode, page -> !page.hasMore())
        .flatMap(
            page -> {
              if (endOffset.filter(end -> !end.sameEra(page.endOffset())).isPresent()) {
                return readSnapshot(topic, page.endOffset().era());
              }
              records.addAll(page.records());
              if (bytes(records) > MAX_SNAPSHOT_BYTES) {
                return Mono.error(snapshotTooLarge(topic));
              }
              TopicOffset firstEndOffset = endOffset.orElse(page.endOffset());
              if (page.hasMore() && !page.records().isEmpty()) {
                String lastKeyOfPage = page.records().getLast().key();
                return readSnapshot(
                    topic,
                    firstEndOffset.era(),
                    Optional.of(lastKeyOfPage),
                    records,
                    Optional.of(firstEndOffset));
              }
              return Mono.just(new KeyedPage(records, firstEndOffset, true));
            });
  }

  /**
   * Sends a request.
   *
   * @param knownEra an era of the store that this VM has heard of
   * @param decoder decodes the body of the response
   * @param allowsReuse returns whether the connection can be reused after this page
   */
  private <T> Mono<T> get(
      String topic,
      String uri,
      long knownEra,
      Duration timeout,
      Decoder<T> decoder,
      Predicate<T> allowsReuse) {
    return clients
        .computeIfAbsent(topic, this::createClient)
        .get()
        .uri(uri)
        .responseConnection(
            (response, connection) ->
                collector
                    .collect(body(connection))
                    .map(bytes -> decode(decoder, response, knownEra, bytes.toArray()))
                    .doOnNext(page -> closeUnless(allowsReuse.test(page), connection))
                    .doOnError(error -> closeUnless(false, connection)))
        .next()
        .timeout(timeout, clock)
        .onErrorMap(StoreClient::toStoreException);
  }

  /** Returns the body; the connection is closed if it is cancelled before its end. */
  private static Flux<ByteBuf> body(Connection connection) {
    AtomicBoolean whole = new AtomicBoolean();
    return connection
        .inbound()
        .receive()
        .retain()
        .doOnComplete(() -> whole.set(true))
        .doOnCancel(() -> closeUnless(whole.get(), connection));
  }

  private static void closeUnless(boolean reusable, Connection connection) {
    if (!reusable) {
      connection.channel().close();
    }
  }

  private static void checkStatus(int status) throws RadishpostException {
    if (status == GONE) {
      throw new RecordsDeletedException(
          "The store does not have these records: read the latest record of each key.");
    }
    if (status != OK) {
      throw new StoreException("The store responded with status " + status + ": retry later.");
    }
  }

  private static long bytes(List<KeyedRecord> records) {
    return records.stream()
        .mapToLong(
            record ->
                RECORD_OVERHEAD_BYTES
                    + record.key().length()
                    + record.value().map(value -> value.length).orElse(0))
        .sum();
  }

  private static StoreException snapshotTooLarge(String topic) {
    return new StoreException(
        "The latest records of "
            + topic
            + " exceed "
            + MAX_SNAPSHOT_BYTES
            + " bytes: check who writes to the topic.");
  }

  private static StoreException responseTooLarge() {
    return new StoreException(
        "The response of the store exceeds "
            + MAX_RESPONSE_BYTES
            + " bytes: check that it is the store that responds.");
  }

  private static Throwable toStoreException(Throwable error) {
    return switch (error) {
      case RadishpostException known -> known;
      case TimeoutException late ->
          new StoreException("The store did not respond in time: retry later.", late);
      case ProtocolException unusable ->
          new StoreException(
              "The response of the store cannot be used, " + unusable.getMessage(), unusable);
      default ->
          new StoreException("The store cannot be reached: check the network path to it.", error);
    };
  }

  private <T> T decode(
      Decoder<T> decoder, HttpClientResponse response, long knownEra, byte[] bytes) {
    try {
      String header = response.responseHeaders().get(WireNames.STORE_ERA);
      long responseEra = era.check(Optional.ofNullable(header), knownEra);
      checkStatus(response.status().code());
      return decoder.decode(responseEra, bytes);
    } catch (RadishpostException e) {
      throw Exceptions.propagate(e);
    }
  }

  private interface Decoder<T> {
    T decode(long era, byte[] bytes) throws RadishpostException;
  }

  /**
   * A page of the response to {@code log-newest}.
   *
   * @param records the latest records of some keys
   * @param hasMore whether more keys follow on the next page
   * @param endOffset the end offset of the topic when the page was created
   */
  private record SnapshotPage(List<KeyedRecord> records, boolean hasMore, TopicOffset endOffset) {
    private static SnapshotPage decode(long era, byte[] bytes) throws PlatformDocumentException {
      Document page = Document.parse("page of latest records", bytes);
      List<KeyedRecord> records = new ArrayList<>();
      for (Document item : page.objectList("items")) {
        byte[] value = Base64.getDecoder().decode(item.text("value"));
        records.add(
            new KeyedRecord(offset(era, item, "offset"), item.text("key"), Optional.of(value)));
      }
      return new SnapshotPage(records, page.booleanOrFalse("has-more"), offset(era, page, "end"));
    }

    private static TopicOffset offset(long era, Document document, String field)
        throws PlatformDocumentException {
      return new TopicOffset(era, (long) document.number(field));
    }
  }
}
