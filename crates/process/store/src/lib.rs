//! The platform's key-value service: client, commit of records and claims.
