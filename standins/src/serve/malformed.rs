//! Responses that violate HTTP.

use crate::fault::WrongAnswer;

/// Bytes to send in place of `correct`, the encoded correct response.
pub(super) fn malformed_answer(kind: WrongAnswer, correct: Vec<u8>) -> Vec<u8> {
    match kind {
        WrongAnswer::Short => b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort".to_vec(),
        WrongAnswer::Overlong => {
            b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlongHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother".to_vec()
        }
        WrongAnswer::TwoLengths => {
            b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 9\r\n\r\nlong-long".to_vec()
        }
        WrongAnswer::Garbage => b"\x00\x01\x02 this is not HTTP\r\n\r\n".to_vec(),
        WrongAnswer::BadStatus => b"HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n".to_vec(),
        WrongAnswer::NoLength => b"HTTP/1.1 200 OK\r\n\r\nended by close".to_vec(),
        WrongAnswer::CutChunk => {
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n32\r\nshort".to_vec()
        }
        WrongAnswer::Informational => {
            let mut bytes = b"HTTP/1.1 100 Continue\r\n\r\n".to_vec();
            bytes.extend(correct);
            bytes
        }
        WrongAnswer::Late => correct,
    }
}
