package org.radishpost.link;

import java.io.IOException;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.radishpost.errors.LinkException;

/**
 * One frame of a proved link: four MessagePack integers and a body.
 *
 * @param kind what the frame is for
 * @param type the number of the message's type, 0 for none
 * @param version the version of the message's layout
 * @param correlationId the number that joins an answer to its ask, 0 for none
 * @param body the message in MessagePack; not to be changed
 */
record Frame(Kind kind, int type, int version, long correlationId, byte[] body) {
  /** Largest frame of a proved link. */
  static final int MAX_BYTES = 1024 * 1024;

  /** Largest frame of a link that is not proved. */
  static final int MAX_UNAUTHENTICATED_BYTES = 64 * 1024;

  /** What frames are for. */
  enum Kind {
    /** A sign of life. */
    HEARTBEAT,
    /** A message that asks for no answer. */
    NOTIFICATION,
    /** A message that asks for an answer. */
    REQUEST,
    /** The answer to an ask. */
    RESPONSE,
    /** The ask was not taken; the type tells the {@link ErrorCode}. */
    ERROR,
    /** The sender closes the link because it no longer needs it. */
    RELEASE;

    private static final Kind[] ALL = values();
  }

  /** Why an ask was not taken. */
  enum ErrorCode {
    /** The type or version of the message is not known here. */
    UNSUPPORTED,
    /** Too many asks are being worked on. */
    BUSY,
    /** The message could not be answered. */
    FAILED;

    private static final ErrorCode[] ALL = values();

    /** Returns the refusal with the number; one that is not known counts as failed. */
    static ErrorCode fromNumber(int number) {
      return number >= 0 && number < ALL.length ? ALL[number] : FAILED;
    }
  }

  /** Returns a frame without a message. */
  static Frame empty(Kind kind) {
    return new Frame(kind, 0, 0, 0, new byte[0]);
  }

  /** Returns the refusal of an ask. */
  static Frame error(ErrorCode errorCode, long correlationId) {
    return new Frame(Kind.ERROR, errorCode.ordinal(), 0, correlationId, new byte[0]);
  }

  /** Returns a frame with a message. */
  static Frame of(Kind kind, LinkMessage message, long correlationId) {
    MessageType type = MessageType.of(message);
    return new Frame(kind, type.number, type.version, correlationId, LinkMapper.write(message));
  }

  /**
   * Returns the message of the frame, or nothing when this release does not know its type in that
   * version.
   *
   * @throws LinkException if the body does not fit the type
   */
  Optional<LinkMessage> message() throws LinkException {
    Optional<MessageType> knownType = MessageType.find(type, version);
    return knownType.isEmpty()
        ? Optional.empty()
        : Optional.of(LinkMapper.read(body, knownType.get().messageClass));
  }

  byte[] encode() {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(kind.ordinal());
      packer.packInt(type);
      packer.packInt(version);
      packer.packLong(correlationId);
      packer.writePayload(body);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("packing into memory cannot fail", e);
    }
  }

  static Frame decode(byte[] bytes) throws LinkException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      int kind = unpacker.unpackInt();
      int type = unpacker.unpackInt();
      int version = unpacker.unpackInt();
      long correlationId = unpacker.unpackLong();
      if (kind < 0 || kind >= Kind.ALL.length) {
        throw corrupt(null);
      }
      byte[] body = unpacker.readPayload(bytes.length - (int) unpacker.getTotalReadBytes());
      return new Frame(Kind.ALL[kind], type, version, correlationId, body);
    } catch (IOException | MessagePackException e) {
      throw corrupt(e);
    }
  }

  private static LinkException corrupt(Exception cause) {
    return new LinkException(
        "A frame is corrupt. Check that both VMs run a release of radishpost.", cause);
  }
}
