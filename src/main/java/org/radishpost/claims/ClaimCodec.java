package org.radishpost.claims;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessagePackException;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes and decodes the records of a claim stream. A record is one flat MessagePack array: the
 * format version, followed by the fields of each entry.
 */
final class ClaimCodec {
  /**
   * Upper bound on the encoded size of an entry, not counting the body and content type of its
   * outcome.
   */
  static final int MAX_ENTRY_OVERHEAD_BYTES = 64;

  private static final int FORMAT_VERSION = 1;
  private static final int CLAIM = 1;
  private static final int WITHDRAWAL = 2;
  private static final int COMPLETION = 3;
  private static final MessagePackFactory FACTORY = new MessagePackFactory();

  private ClaimCodec() {}

  /** Returns an upper bound on the encoded size of the entry. */
  static int maxEncodedBytes(ClaimEntry entry) {
    if (entry instanceof ClaimEntry.Completion completion) {
      ClaimOutcome outcome = completion.outcome();
      return MAX_ENTRY_OVERHEAD_BYTES + outcome.body().length + 3 * outcome.contentType().length();
    }
    return MAX_ENTRY_OVERHEAD_BYTES;
  }

  /** Encodes entries as one record. */
  static byte[] encode(List<ClaimEntry> entries) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try (JsonGenerator generator = FACTORY.createGenerator(out)) {
      generator.writeStartArray();
      generator.writeNumber(FORMAT_VERSION);
      for (ClaimEntry entry : entries) {
        writeEntry(generator, entry);
      }
      generator.writeEndArray();
    } catch (IOException e) {
      throw new IllegalStateException("cannot encode a claim record", e);
    }
    return out.toByteArray();
  }

  /**
   * Decodes one record. Returns empty if the record is malformed, too large or of another format
   * version.
   */
  static Optional<List<ClaimEntry>> decode(byte[] payload) {
    if (payload.length > ClaimLimits.MAX_RECORD_BYTES) {
      return Optional.empty();
    }
    try (JsonParser parser = FACTORY.createParser(payload)) {
      return Optional.of(readEntries(parser, payload.length));
    } catch (IOException | MessagePackException | ArithmeticException e) {
      return Optional.empty();
    }
  }

  private static void writeEntry(JsonGenerator generator, ClaimEntry entry) throws IOException {
    generator.writeNumber(kind(entry));
    generator.writeBinary(entry.key().toBytes());
    generator.writeBinary(entry.attempt().toBytes());
    generator.writeNumber(entry.keyMillis());
    switch (entry) {
      case ClaimEntry.Claim claim -> generator.writeNumber(claim.requestDigestPrefix());
      case ClaimEntry.Withdrawal unused -> {}
      case ClaimEntry.Completion completion -> {
        generator.writeNumber(completion.outcome().status());
        generator.writeString(completion.outcome().contentType());
        generator.writeBinary(completion.outcome().body());
      }
    }
  }

  private static int kind(ClaimEntry entry) {
    return switch (entry) {
      case ClaimEntry.Claim unused -> CLAIM;
      case ClaimEntry.Withdrawal unused -> WITHDRAWAL;
      case ClaimEntry.Completion unused -> COMPLETION;
    };
  }

  private static List<ClaimEntry> readEntries(JsonParser parser, int length) throws IOException {
    require(parser.nextToken() == JsonToken.START_ARRAY);
    require(readLong(parser) == FORMAT_VERSION);
    List<ClaimEntry> entries = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      require(parser.currentToken() == JsonToken.VALUE_NUMBER_INT);
      entries.add(readEntry(parser, parser.getIntValue()));
    }
    require(parser.currentLocation().getByteOffset() == length);
    return entries;
  }

  private static ClaimEntry readEntry(JsonParser parser, int kind) throws IOException {
    ShortDigest key = readDigest(parser);
    ShortDigest attempt = readDigest(parser);
    long keyMillis = readLong(parser);
    return switch (kind) {
      case CLAIM -> new ClaimEntry.Claim(key, attempt, keyMillis, readLong(parser));
      case WITHDRAWAL -> new ClaimEntry.Withdrawal(key, attempt, keyMillis);
      case COMPLETION -> new ClaimEntry.Completion(key, attempt, keyMillis, readOutcome(parser));
      default -> throw new IOException("unknown kind of claim entry");
    };
  }

  private static ClaimOutcome readOutcome(JsonParser parser) throws IOException {
    int status = Math.toIntExact(readLong(parser));
    require(parser.nextToken() == JsonToken.VALUE_STRING);
    String contentType = parser.getText();
    return new ClaimOutcome(status, contentType, readBinary(parser));
  }

  private static ShortDigest readDigest(JsonParser parser) throws IOException {
    byte[] bytes = readBinary(parser);
    require(bytes.length == ShortDigest.BYTES);
    return ShortDigest.fromBytes(bytes);
  }

  private static byte[] readBinary(JsonParser parser) throws IOException {
    require(parser.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT);
    return parser.getBinaryValue();
  }

  private static long readLong(JsonParser parser) throws IOException {
    require(parser.nextToken() == JsonToken.VALUE_NUMBER_INT);
    return parser.getLongValue();
  }

  private static void require(boolean wellFormed) throws IOException {
    if (!wellFormed) {
      throw new IOException("malformed claim record");
    }
  }
}
