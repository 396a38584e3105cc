#ifndef LACEWINGBRIDGE_UTILITIES_SCHEMAGENERATOR_SCHEMA_WRITERS_H_
#define LACEWINGBRIDGE_UTILITIES_SCHEMAGENERATOR_SCHEMA_WRITERS_H_

#include <google/protobuf/descriptor.h>
#include <google/protobuf/io/printer.h>

namespace lacewingbridge::schema {

// Writes the header with plain structs, enums and tables of one schema file.
void WriteStructHeader(const google::protobuf::FileDescriptor& file,
                       google::protobuf::io::Printer& out);

// Writes the tables of settings, events and errors, as constexpr arrays.
void WriteTables(const google::protobuf::FileDescriptor& file, google::protobuf::io::Printer& out);

// Writes the declarations of Encode, Decode, EncodeJson and DecodeJson.
void WriteCodecHeader(const google::protobuf::FileDescriptor& file,
                      google::protobuf::io::Printer& out);

// Writes the conversion between plain structs and protobuf classes.
void WriteCodecSource(const google::protobuf::FileDescriptor& file,
                      google::protobuf::io::Printer& out);

}  // namespace lacewingbridge::schema

#endif  // LACEWINGBRIDGE_UTILITIES_SCHEMAGENERATOR_SCHEMA_WRITERS_H_
